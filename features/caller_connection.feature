Feature: Callers' connections

  Scenario: A caller leaves while its request runs
    Guards against work for a caller that has gone.
    Given a server whose requests take 5 s
    When a caller sends a request and closes its connection
    Then the request is cancelled within 300 ms

  Scenario: Requests on a kept connection
    Guards against an answer that belongs to another request.
    Given a server that echoes
    When a caller sends 5 requests on one connection
    Then each answer echoes its own request

  Scenario: Requests that are sent before the answer to the one in front
    Guards against pipelined requests that are lost or answered out of order.
    Given a server that echoes
    When a caller sends 3 requests at once
    Then the answers come in the order of the requests

  Scenario Outline: Requests that cannot be read
    Guards against a request hidden in another one, and against unbounded input.
    Given a server that echoes
    When a caller sends input that is <what>
    Then the status is <status> and the connection ends

    Examples:
      | what                       | status |
      | two lengths                | 400    |
      | a length and chunks        | 400    |
      | no request at all          | 400    |
      | a head of 20 KB            | 431    |
      | a body of 300 KB           | 413    |

  Scenario: A body in chunks
    Guards against a body that is changed on the way.
    Given a server that echoes
    When a caller sends a body in chunks
    Then the request has the whole body

  Scenario: A caller that never ends its request
    Guards against connections that are held for ever.
    Given a server that echoes
    When a caller sends input that is half a head
    Then the status is 408 and the connection ends

  Scenario: A draining server
    Guards against callers that stay with an instance that ends.
    Given a server that echoes
    When the server drains and a caller sends a request
    Then the answer asks to close the connection
    When the server closes
    Then new connections are refused

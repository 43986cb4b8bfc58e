Feature: Connections of callers

  Scenario: A caller disconnects while its request runs
    Guards against a request that goes on running after its caller has disconnected.
    Given a server whose requests take 5 s
    When a caller sends a request and closes its connection
    Then the request is cancelled within 300 ms

  Scenario: Callers disconnect in the middle of a long response
    Guards against a socket that is closed while the task of its request waits to send on
    it: curio's kernel failed with KeyError, and all other requests ended with the process.
    Given a server with responses of 3 MB
    When 60 callers close or reset their connections in the middle of a response
    Then the next caller is answered

  Scenario: A caller reads nothing of a long response
    Guards against a connection and its task that stay for as long as a caller neither
    reads nor leaves.
    Given a server with responses of 3 MB
    When a caller sends a request and reads nothing for 5 s
    Then its response was cut off by the server

  Scenario: Several requests on one connection
    Guards against a response that belongs to another request.
    Given a server that echoes the path
    When a caller sends 5 requests on one connection
    Then each response echoes the path of its own request

  Scenario Outline: A request whose response must have no body
    Guards against a connection that is closed without an answer, because HTTP allows no
    body in the response to a HEAD request.
    Given a server whose handler returns a body, <length>
    When a caller sends a HEAD request and another request on one connection
    Then the first response states a length of <stated> and has no body
    And the second response has a body

    Examples:
      | length                          | stated |
      | and no length                   | 4      |
      | and the length that GET returns | 41     |

  Scenario: Pipelined requests
    Guards against requests that are lost or get their responses out of order.
    Given a server that echoes the path
    When a caller pipelines 3 requests
    Then the responses arrive in the order of the requests

  Scenario Outline: Malformed or oversized requests
    Guards against request smuggling and unbounded input.
    Given a server that echoes the path
    When a caller sends invalid input: <input>
    Then the response has status <status> and the connection is closed

    Examples:
      | input                                       | status |
      | two Content-Length headers                  | 400    |
      | a Content-Length header and a chunked body  | 400    |
      | bytes that are not HTTP                     | 400    |
      | a head of 20 KB                             | 431    |
      | a body of 300 KB                            | 413    |

  Scenario: A refused caller goes on sending without end
    Guards against a process that reads the bytes of a request that it has refused for as
    long as they come: a task that always finds bytes never gives way to its time limit.
    Given a server that echoes the path
    When a caller sends a body of which the server takes only a part, without end
    Then it could send at most 24 MB

  Scenario Outline: The limits change while a connection is open
    Guards against a connection that keeps the limits of its start: ten of ten kept
    connections answered 413 to bodies that had been allowed for 5 s.
    Given a server that echoes the path and takes <before>
    When a caller sends a request, the server takes <after>, and the caller sends <request>
    Then the second response has status <status>

    Examples:
      | before              | after               | request         | status |
      | bodies of 1,000 B   | bodies of 262,144 B | a body of 2 KB  | 200    |
      | bodies of 262,144 B | bodies of 1,000 B   | a body of 2 KB  | 413    |
      | heads of 1,000 B    | heads of 16,384 B   | a head of 2 KB  | 200    |
      | heads of 16,384 B   | heads of 1,000 B    | a head of 2 KB  | 431    |

  Scenario: A chunked body
    Guards against chunk framing or chunk extensions that end up in the body.
    Given a server that echoes the path
    When a caller sends a chunked body
    Then the request has the decoded body

  Scenario: A caller that does not complete its request
    Guards against connections that an incomplete request holds open for ever.
    Given a server that echoes the path
    When a caller sends invalid input: half a head
    Then the response has status 408 and the connection is closed

  Scenario: A draining server
    Guards against callers that keep their connections to a stopping instance.
    Given a server that echoes the path
    When the server drains and a caller sends a request
    Then the response asks to close the connection
    When the server closes
    Then new connections are refused

  Scenario: A server closes under load
    Guards against requests that were cut off at a planned stop although they had arrived:
    those in the queue of new connections, those half received, and the first ones of
    connections that were just accepted.
    Given a server that echoes the path
    When it closes while 20 connections wait in the queue with a request each
    And while half a request has arrived on one connection and none on another
    Then all 22 requests are answered once they are complete

  Scenario: A server closes while requests have arrived on kept connections
    Guards against requests that had arrived when a loaded server closed, and whose
    connections were reset because the server had not read them yet.
    Given a server that echoes the path
    When it closes right after 20 callers have sent a request on a kept connection
    Then all 20 requests are answered once they are complete

  Scenario: A server closes before it serves
    Guards against a server that starts to accept connections after it was closed: nobody
    would wait for their requests.
    Given a server that was closed before it started
    When a caller connects
    Then the connection is refused

  Scenario: A server closes while a connection has carried no request
    Guards against a planned stop that waits until the kill for a connection that nobody
    uses, and against a first request that is cut because its connection stayed open.
    Given a server that echoes the path
    When it closes 1200 ms after a caller has connected without sending a request
    Then no request counts as running
    And the connection is closed

  Scenario: A server closes while new connections keep coming
    Guards against a planned stop that never gets past the queue of new connections.
    Given a server that echoes the path
    When it closes while callers go on connecting
    Then it has closed within 2 s

  Scenario: A handler fails
    Guards against a caller that waits until its timeout because an unexpected exception
    ended the task of its request.
    Given a server whose handler fails
    When a caller sends a request
    Then its connection is closed at once

  Scenario: The server accepts connections again after it ran out of descriptors
    Guards against an instance that accepts no connection any more after one failure.
    Given a server that echoes the path
    When accepting a connection fails 3 times for want of a descriptor
    Then the next caller is answered

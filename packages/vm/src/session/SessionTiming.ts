/** Times by which a session detects that its peer is gone without closing the connection. */
interface SessionTiming {
  /** A heartbeat is sent when nothing else was sent for this long, in milliseconds. */
  readonly heartbeatMs: number;
  /** The session is closed when nothing has arrived for this long, in milliseconds. */
  readonly timeoutMs: number;
}

export default SessionTiming;

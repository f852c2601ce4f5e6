/** Times by which a session finds out that its peer is gone without a word. */
interface SessionTiming {
  /** A heartbeat is sent when nothing else was sent for this long, in milliseconds. */
  readonly heartbeatMs: number;
  /** The session is closed when nothing has arrived for this long, in milliseconds. */
  readonly timeoutMs: number;
}

export default SessionTiming;

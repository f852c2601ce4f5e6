/** A read that waits until a quorum has answered its round. */
interface PendingRead {
  readonly token: number;
  readonly index: number;
  readonly round: number;
}

export default PendingRead;

/** An entry of KNOWN-RED.txt: a test that fails because of a known, unfixed bug. */
interface KnownFailure {
  /** Exact name of the test. */
  readonly test: string;
  /** The full entry, for printing. */
  readonly text: string;
}

export default KnownFailure;

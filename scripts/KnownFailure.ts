/** One entry of KNOWN-RED.txt: a test that fails for a fault that is not yet mended. */
interface KnownFailure {
  /** Name of the test, exactly. */
  readonly test: string;
  /** The whole entry, to be printed. */
  readonly text: string;
}

export default KnownFailure;

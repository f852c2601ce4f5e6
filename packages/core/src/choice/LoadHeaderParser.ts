import type LoadHeader from './LoadHeader';

/** Reads the load that targets tell in their answers. */
interface LoadHeaderParser {
  /**
   * Reads a header.
   *
   * @param value - value of the `guavayard-load` header
   * @returns the load, or undefined if the value is malformed
   */
  parse: (value: string) => LoadHeader | undefined;
}

export default LoadHeaderParser;

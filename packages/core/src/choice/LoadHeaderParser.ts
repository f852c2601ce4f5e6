import type LoadHeader from './LoadHeader';

/** Parses the load that targets report in the headers of their responses. */
interface LoadHeaderParser {
  /**
   * Parses the value of a load header.
   *
   * @param value - value of the `guavayard-load` header
   * @returns the load, or undefined if the value is malformed
   */
  parse: (value: string) => LoadHeader | undefined;
}

export default LoadHeaderParser;

import type LoadHeader from './LoadHeader';
import type LoadHeaderParser from './LoadHeaderParser';

const IN_FLIGHT = /(?:^|,)[ \t]*in-flight=(\d{1,6})[ \t]*(?:,|$)/;

/**
 * Parses the published format: a dictionary (RFC 8941) with the member `in-flight`, as in
 * `guavayard-load: in-flight=3`. Other members are ignored.
 */
export default class DictionaryLoadHeaderParser implements LoadHeaderParser {
  parse(value: string): LoadHeader | undefined {
    const inFlight = IN_FLIGHT.exec(value)?.[1];
    return inFlight === undefined ? undefined : { inFlight: Number(inFlight) };
  }
}

/* global AbortSignal */
import { Buffer } from 'node:buffer';
import { performance } from 'node:perf_hooks';
import { request } from 'node:http';

const CALL_TIMEOUT_MS = 1000;
const REFUSALS = new Set([400, 409, 412, 413, 422]);

/** Sends one call and waits for a second. @returns status and text, status 0 without a response */
async function attempt(address, method, path, body) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const req = request({
      host,
      port,
      method,
      path,
      agent: false,
      signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      headers: body === undefined ? {} : {
        'content-type': 'application/json', 'content-length': Buffer.byteLength(body),
      },
    }, (res) => {
      let text = '';
      res.on('data', (chunk) => {
        text += chunk;
      });
      res.on('end', () => {
        resolve({ status: res.statusCode, text });
      });
      res.on('error', () => resolve({ status: 0, text: 'the response ended early' }));
    });
    req.on('error', (err) => resolve({ status: 0, text: err.message }));
    req.end(body);
  });
}

/**
 * Makes a call of the operator or of an instance: it moves on to the next node after a failure, a
 * 5xx, or a second without a response.
 *
 * @param addresses - nodes that serve control, in the order in which they are called
 * @param method - method of the call
 * @param path - path of the call
 * @param body - body of the call; undefined for none
 * @param onAttempt - called with each attempt
 * @returns status and text of the last response
 */
export default async function callControl(
  addresses,
  method,
  path,
  body,
  onAttempt = () => undefined,
) {
  let last = { status: 0, text: '' };
  for (let index = 0; index < addresses.length; index += 1) {
    const sentAtMs = performance.now();
    // eslint-disable-next-line no-await-in-loop -- one node is called after the other
    last = await attempt(addresses[index], method, path, body);
    onAttempt({ address: addresses[index], sentAtMs, ...last });
    if (last.status >= 200 && last.status < 300) return last;
    if (REFUSALS.has(last.status)) return last;
  }
  return last;
}

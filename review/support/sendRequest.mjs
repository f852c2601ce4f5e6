import { request } from 'node:http';

/**
 * Sends a client's request on a new connection.
 *
 * @param options - `host` and `port` of the entry, `name` of the route's host, `path`, `id`,
 *   `deadlineMs`, and `body` for a POST request
 * @returns status, body and signature; status 0 if the connection ended without a whole response
 */
export default async function sendRequest({
  host, port, name, path, id, deadlineMs, body,
}) {
  return new Promise((resolve) => {
    const req = request({
      host,
      port,
      path,
      method: body === undefined ? 'GET' : 'POST',
      agent: false,
      headers: { host: name, 'x-request-id': id, 'x-request-deadline-ms': deadlineMs },
    }, (res) => {
      let text = '';
      res.on('data', (chunk) => {
        text += chunk;
      });
      res.on('error', (err) => resolve({ status: 0, text: err.message }));
      res.on('end', () => resolve({
        status: res.complete ? res.statusCode : 0, text, signature: res.headers['x-server-signature'],
      }));
    });
    req.setTimeout(deadlineMs, () => req.destroy(new Error('the deadline passed')));
    req.on('error', (err) => resolve({ status: 0, text: err.message }));
    req.end(body);
  });
}

import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

const SIZES = { '/1k': 1024, '/1m': 1024 * 1024 } as const;

/** A target that responds immediately with a body whose size depends on the path. */
const server = createServer((req, res) => {
  const size = SIZES[req.url as keyof typeof SIZES] ?? 0;
  res.setHeader('content-length', size);
  res.end(Buffer.alloc(size));
});

server.listen(0, '127.0.0.1', () => {
  process.stdout.write(`${(server.address() as AddressInfo).port}\n`);
});

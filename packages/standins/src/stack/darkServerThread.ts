// Listens and then stands still, so that no connection is accepted. It has a thread of its own, since the wait blocks it.

import { createServer, type AddressInfo } from 'node:net';
import { parentPort } from 'node:worker_threads';

const server = createServer();
server.listen({ host: '127.0.0.1', port: 0, backlog: 1 }, () => {
  parentPort?.postMessage((server.address() as AddressInfo).port);
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
});

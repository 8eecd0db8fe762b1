// A stand-in of a requester that sends several requests on a channel without waiting for the answers in between, as HTTP/1.1
// allows, and reads the answers in their order.

import { connect } from 'node:net';

/**
 * Sends the requests, each `{ method, path, id, body }`, one after the other on a new channel, and resolves with one outcome for each:
 * its status and whether its body came whole. A status of 0 means that the channel ended before its answer.
 */
export function pipeline({ address, host, key, budgetMs }, requests) {
  const [hostname, port] = address.split(':');
  return new Promise((resolve) => {
    let received = '';
    let ending = 'open';
    const sentAt = performance.now();
    const socket = connect({ host: hostname, port: Number(port), noDelay: true });
    const settle = () => {
      clearTimeout(timer);
      socket.destroy();
      const answers = answersOf(received);
      const endedAt = performance.now();
      resolve(
        requests.map(({ id }, index) => {
          const { status = 0, isWhole = false } = answers[index] ?? {};
          return { id, sentAt, endedAt, status, isWhole, ending };
        }),
      );
    };
    const timer = setTimeout(() => {
      ending = 'time budget';
      settle();
    }, budgetMs);
    socket.on('connect', () => {
      const text = requests.map(({ method, path, id, body }) => {
        const head = `${method} ${path} HTTP/1.1\r\nhost: ${host}\r\nrequest-id: ${id}`;
        const fields = `deadline-ms: ${budgetMs}\r\nauthorization: Bearer ${key}`;
        const length = body === undefined ? '' : `\r\ncontent-length: ${body.length}`;
        return `${head}\r\n${fields}${length}\r\n\r\n${body ?? ''}`;
      });
      socket.write(text.join(''));
    });
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (answersOf(received).filter(({ isWhole }) => isWhole).length === requests.length) settle();
    });
    socket.on('error', (error) => (ending = error.code));
    socket.on('close', () => {
      if (ending === 'open') ending = 'closed';
      settle();
    });
  });
}

/** The answers in the bytes of a channel. All of them have a length. */
function answersOf(text) {
  const answers = [];
  for (let at = 0; ;) {
    const end = text.indexOf('\r\n\r\n', at);
    if (end < 0) return answers;
    const head = text.slice(at, end);
    const status = Number(head.split(' ')[1]);
    const length = Number(/\r\ncontent-length: (\d+)/i.exec(head)?.[1] ?? 0);
    at = end + 4 + length;
    answers.push({ status, isWhole: at <= text.length });
  }
}

// Tells whether a process listens at an address, without sending it a request.

import { connect } from 'node:net';
import type { Milliseconds } from '@catkinwheel/state';

/** An address that is silent for longer belongs to a VM that is gone or cut off, which says nothing about the process. */
const timeout: Milliseconds = 500;

/** Whether the connection is refused. False if it is accepted or if nothing answers. `address` is `host:port`. */
export function isRefused(address: string): Promise<boolean> {
  const separator = address.lastIndexOf(':');
  const host = address.slice(0, separator);
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(address.slice(separator + 1)), timeout });
    const end = (result: boolean): void => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => {
      end(false);
    });
    socket.once('timeout', () => {
      end(false);
    });
    socket.once('error', (error: NodeJS.ErrnoException) => {
      end(error.code === 'ECONNREFUSED');
    });
  });
}

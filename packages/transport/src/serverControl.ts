// Control requests to servers: load reports and orders. They have connections of their own, so that
// a load report is not delayed by the requests that make up the load.

import { decodeForeign, readText, type LoadReport, type Order } from '@catkinwheel/protocol';
import type { Milliseconds } from '@catkinwheel/state';
import { ResultAsync } from 'neverthrow';
import { array, boolean, Codec, number, optional, string } from 'purify-ts';
import { Agent } from 'undici';

/** Maximum time of a control request; load reports are requested every few hundred ms. */
const controlTimeout: Milliseconds = 1_000;
/** Maximum size of a response in bytes. */
const maxResponseBytes = 64 * 1024;

const loadReport = Codec.interface({
  boot: string,
  running: number,
  waiting: number,
  leaving: boolean,
  models: array(string),
  age: optional(number),
});

/** `GET /load` and `POST /orders`. Implements `ServerControl` of the coordination package. */
export class HttpServerControl {
  readonly #agent: Agent;

  private constructor(agent: Agent) {
    this.#agent = agent;
  }

  static create(): HttpServerControl {
    return new HttpServerControl(new Agent({ connections: 1, pipelining: 1 }));
  }

  /** Requests the server's load report. The error is a sentence for a human reader. */
  load(address: string): ResultAsync<LoadReport, string> {
    return this.#request(address, 'GET', '/load').andThen((body) =>
      decodeForeign(loadReport, body)
        .map((load) => ({ ...load, age: load.age ?? 0 }))
        .mapErr((error) => `malformed load report: ${error}`),
    );
  }

  /**
   * Sends an order. The error is a sentence for a human reader; the server may have accepted the
   * order all the same.
   */
  order(address: string, order: Order): ResultAsync<void, string> {
    const { fence, ...rest } = order;
    const body = JSON.stringify({ order: rest, fence });
    return this.#request(address, 'POST', '/orders', body).map(() => undefined);
  }

  /** Closes all connections. */
  close(): Promise<void> {
    return this.#agent.destroy();
  }

  #request(
    address: string,
    method: 'GET' | 'POST',
    path: string,
    body?: string,
  ): ResultAsync<unknown, string> {
    return ResultAsync.fromPromise(this.#exchange(address, method, path, body), (error) =>
      error instanceof Error ? error.message : 'unknown error',
    );
  }

  async #exchange(
    address: string,
    method: 'GET' | 'POST',
    path: string,
    body?: string,
  ): Promise<unknown> {
    const response = await this.#agent.request({
      origin: `http://${address}`,
      method,
      path,
      signal: AbortSignal.timeout(controlTimeout),
      ...(body === undefined ? {} : { body, headers: { 'content-type': 'application/json' } }),
    });
    const text = await readText(response.body, maxResponseBytes);
    if (response.statusCode >= 300) throw new Error(`status ${response.statusCode}`);
    return text === '' ? undefined : JSON.parse(text);
  }
}

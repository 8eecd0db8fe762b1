// The least that a proxy of hono and undici can do: no accounts, permits, retries or checks. The overhead
// of the router is measured against it. The argument is the `host:port` of the one server behind it.

import type { IncomingHttpHeaders } from 'node:http';
import { pipeline } from 'node:stream/promises';
import type { HttpBindings } from '@hono/node-server';
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response';
import { Hono } from 'hono';
import { Pool } from 'undici';
import { endWithParent, Listener, say } from './process.js';

const bodiless: ReadonlySet<string> = new Set(['GET', 'HEAD']);

const [, , target = ''] = process.argv;
const pool = new Pool(`http://${target}`);
const app = new Hono<{ Bindings: HttpBindings }>();

// Bodies are piped between the sockets: web streams in between would more than double the cost.
app.all('*', async (c) => {
  const { incoming, outgoing } = c.env;
  const answer = await pool.request({
    method: c.req.method,
    path: incoming.url ?? '/',
    headers: withoutHops(incoming.headers),
    body: bodiless.has(c.req.method) ? null : incoming,
  });
  outgoing.writeHead(answer.statusCode, withoutHops(answer.headers));
  await pipeline(answer.body, outgoing);
  return RESPONSE_ALREADY_SENT;
});

function withoutHops(headers: IncomingHttpHeaders): IncomingHttpHeaders {
  const kept = { ...headers };
  delete kept.connection;
  delete kept['keep-alive'];
  delete kept['transfer-encoding'];
  return kept;
}

const listener = await Listener.create(app);
endWithParent();
say({ event: 'ready', address: listener.address, control: '' });

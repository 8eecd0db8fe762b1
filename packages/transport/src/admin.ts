// The port for operators. It only shows what the router knows and passes on what they ask for; every
// decision is made by the parts behind the interfaces below.

import { serve, type ServerType } from '@hono/node-server';
import {
  codecs,
  decode,
  validateCatalogue,
  formatProblem,
  routerStatusCodec,
  type RolloutStatus,
  type AdminError,
  type Applied,
  type ApplyFailure,
  type ChangeRecord,
  type FleetStatus,
  type PlatformFailure,
  type RouterStatus,
} from '@catkinwheel/protocol';
import {
  drainChange,
  type Catalogue,
  type CatalogueChange,
  type CatalogueDocument,
  type DrainTarget,
  type Milliseconds,
  type Revision,
  type RouterName,
} from '@catkinwheel/state';
import { Hono, type Context } from 'hono';
import { bearerAuth } from 'hono/bearer-auth';
import { bodyLimit } from 'hono/body-limit';
import { HTTPException } from 'hono/http-exception';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { AddressInfo } from 'node:net';
import { hasDrainTarget, serversOfFleet, teamsOfFleet } from './fleetView.js';
import type { MeterSnapshot } from './meter.js';

/** The catalogue as operators change it. */
export interface AdminCatalogue {
  current(): Catalogue;
  replace(
    base: Revision,
    next: CatalogueDocument,
    author: string,
  ): Promise<Result<Revision, ApplyFailure>>;
  amend(
    change: (catalogue: Catalogue) => CatalogueChange,
    author: string,
  ): Promise<Result<Revision, ApplyFailure>>;
  rolloutStatus(revision: Revision): RolloutStatus;
  history(): Promise<Result<readonly ChangeRecord[], PlatformFailure>>;
}

/** What the admin port shows and does. */
export interface AdminSource {
  /** The status of this router. */
  status(): RouterStatus;
  /** The status of another router; it is decoded here. */
  peerStatus(router: RouterName): ResultAsync<unknown, string>;
  metrics(): MeterSnapshot;
  readonly catalogue: AdminCatalogue;
  /** Begins a graceful shutdown of this router and returns at once. */
  stop(): void;
}

export interface AdminOptions {
  /** Host to listen on, an IP number. */
  readonly host: string;
  /** Port to listen on; 0 lets the system choose. */
  readonly port: number;
  /** Bearer token of operators. */
  readonly token: string;
  readonly source: AdminSource;
}

/** Largest request body, above a catalogue of the size to come (about 10 MB). */
const largestBody = 64 * 1024 * 1024;
/** Time for another router to answer with its status. */
const statusTimeout: Milliseconds = 1000;

/** Time for requests in progress when the port closes. */
const lingerTime: Milliseconds = 1000;

/** The listening admin port. */
export class Admin {
  readonly #server: ServerType;
  readonly address: string;

  private constructor(server: ServerType, address: string) {
    this.#server = server;
    this.address = address;
  }

  static listen(options: AdminOptions): ResultAsync<Admin, string> {
    const { host, port } = options;
    return new ResultAsync(
      new Promise<Result<Admin, string>>((resolve) => {
        const app = adminApp(options.token, options.source);
        const server = serve({ fetch: app.fetch, hostname: host, port }, (info: AddressInfo) => {
          const name = info.family === 'IPv6' ? `[${info.address}]` : info.address;
          resolve(ok(new Admin(server, `${name}:${info.port}`)));
        });
        server.once('error', (error: Error) => {
          resolve(err(error.message));
        });
      }),
    );
  }

  /**
   * Stops listening; requests in progress have a second to be answered. A client that keeps asking on
   * one connection would otherwise keep the server open for good.
   */
  close(): Promise<void> {
    return new Promise((resolve) => {
      const server = this.#server;
      const timer = setTimeout(() => {
        if ('closeAllConnections' in server) server.closeAllConnections();
      }, lingerTime);
      server.close(() => {
        clearTimeout(timer);
        resolve();
      });
      if ('closeIdleConnections' in server) server.closeIdleConnections();
    });
  }
}

/** The routes of the admin port. */
export function adminApp(token: string, source: AdminSource): Hono {
  const { catalogue } = source;
  const app = new Hono();
  app.onError((error, c) =>
    error instanceof HTTPException
      ? error.getResponse()
      : failed(c, 500, 'internal error', error.message),
  );
  app.notFound((c) => failed(c, 404, 'not found', `there is no ${c.req.method} ${c.req.path}`));
  const unauthorized: AdminError = {
    title: 'unauthorized',
    status: 401,
    detail: 'the operator token is missing or wrong',
  };
  app.use(
    '/admin/*',
    bearerAuth({
      token,
      invalidToken: { message: unauthorized },
      invalidAuthenticationHeader: { message: unauthorized },
      noAuthenticationHeader: { message: unauthorized },
    }),
  );
  app.use('/admin/*', bodyLimit({ maxSize: largestBody }));

  app.get('/admin/status', async (c) => c.json(await fleetStatus(source)));
  app.get('/admin/metrics', (c) => c.json(source.metrics()));
  app.get('/admin/teams', async (c) => c.json(teamsOfFleet(await fleetStatus(source))));
  app.get('/admin/servers', async (c) =>
    c.json(serversOfFleet(catalogue.current(), await fleetStatus(source))),
  );
  app.get('/admin/catalogue', (c) => c.json(catalogue.current()));
  app.put('/admin/catalogue', (c) => applyCatalogue(c, catalogue));
  app.get('/admin/catalogue/acceptance/:revision{[0-9]+}', (c) =>
    c.json(catalogue.rolloutStatus(Number(c.req.param('revision')))),
  );
  app.get('/admin/catalogue/history', async (c) => {
    const history = await catalogue.history();
    if (history.isOk()) return c.json(history.value);
    return failed(c, 503, 'platform unavailable', platformDetail(history.error));
  });
  app.post('/admin/drain', (c) => drain(c, source, true));
  app.post('/admin/restore', (c) => drain(c, source, false));
  app.post('/admin/stop', async (c) => stop(c, source));
  return app;
}

async function fleetStatus(source: AdminSource): Promise<FleetStatus> {
  const own = source.status();
  const others = own.members.filter(({ mayTakeWork }) => mayTakeWork);
  const answers = await Promise.all(
    others.map(async ({ router }) => {
      const timeout = new Promise<undefined>((resolve) => {
        setTimeout(() => {
          resolve(undefined);
        }, statusTimeout).unref();
      });
      const answer = await Promise.race([source.peerStatus(router.name), timeout]);
      const status = answer?.isOk() === true ? decode(routerStatusCodec, answer.value) : undefined;
      return { name: router.name, status: status?.isOk() === true ? status.value : undefined };
    }),
  );
  return {
    revision: own.revision,
    routers: [own, ...answers.flatMap(({ status }) => (status === undefined ? [] : [status]))],
    unreachable: answers.flatMap(({ name, status }) => (status === undefined ? [name] : [])),
  };
}

const putCodec = codecs.strictObject<{ readonly base: Revision; readonly catalogue: unknown }>({
  base: codecs.nonNegativeInteger,
  catalogue: codecs.anyValue,
});

async function applyCatalogue(c: Context, catalogue: AdminCatalogue): Promise<Response> {
  const body = decode(putCodec, await bodyOf(c));
  if (body.isErr()) return failed(c, 400, 'bad request', body.error);
  const { base } = body.value;
  const problems = validateCatalogue(body.value.catalogue);
  if (problems.length > 0) return applyFailed(c, { kind: 'invalid', problems });
  const next = body.value.catalogue as CatalogueDocument;
  const result = await catalogue.replace(base, next, authorOf(c));
  return answered(c, catalogue, result);
}

async function drain(c: Context, source: AdminSource, isDrained: boolean): Promise<Response> {
  const target = targetOf(await bodyOf(c));
  if (target === undefined) {
    return failed(c, 400, 'bad request', 'expected either dataCentre or vm with a name');
  }
  const { catalogue } = source;
  if (!hasDrainTarget(catalogue.current(), source.status(), target)) {
    const detail = `no server or router is in ${target.kind} "${target.name}"`;
    return failed(c, 404, 'unknown name', detail);
  }
  const result = await catalogue.amend(
    (current) => drainChange(current, target, isDrained),
    authorOf(c),
  );
  return answered(c, catalogue, result);
}

function targetOf(body: unknown): DrainTarget | undefined {
  const { dataCentre, vm, ...rest } = (body ?? {}) as Readonly<Record<string, unknown>>;
  if (Object.keys(rest).length > 0) return undefined;
  if (typeof dataCentre === 'string' && vm === undefined) {
    return { kind: 'dataCentre', name: dataCentre };
  }
  return typeof vm === 'string' && dataCentre === undefined ? { kind: 'vm', name: vm } : undefined;
}

async function stop(c: Context, source: AdminSource): Promise<Response> {
  const { router } = ((await bodyOf(c)) ?? {}) as { readonly router?: unknown };
  const { name } = source.status().router;
  if (router !== undefined && router !== name) {
    return failed(
      c,
      409,
      'another router',
      `this is router ${name}, not ${JSON.stringify(router)}`,
    );
  }
  source.stop();
  return c.json({ router: name }, 202);
}

function answered(
  c: Context,
  catalogue: AdminCatalogue,
  result: Result<Revision, ApplyFailure>,
): Response {
  if (result.isErr()) return applyFailed(c, result.error);
  const applied: Applied = catalogue.rolloutStatus(result.value);
  return c.json(applied);
}

function applyFailed(c: Context, failure: ApplyFailure): Response {
  switch (failure.kind) {
    case 'conflict':
      return failed(c, 409, 'conflict', `the catalogue is at revision ${failure.current}`, failure);
    case 'invalid':
      return failed(c, 422, 'invalid', failure.problems.map(formatProblem).join('; '), failure);
    case 'unavailable':
      return failed(
        c,
        503,
        'platform unavailable',
        `nothing was changed: ${failure.detail}`,
        failure,
      );
    case 'unknown':
      return failed(c, 504, 'outcome unknown', `see the history: ${failure.detail}`, failure);
  }
}

function failed(
  c: Context,
  status: 400 | 404 | 409 | 422 | 500 | 503 | 504,
  title: string,
  detail: string,
  failure?: ApplyFailure,
): Response {
  const error: AdminError = {
    title,
    status,
    detail,
    ...(failure === undefined ? {} : { failure }),
  };
  return c.json(error, status, { 'content-type': 'application/problem+json' });
}

/** Who asks, for the history. */
function authorOf(c: Context): string {
  return c.req.header('x-operator')?.slice(0, 100) ?? 'operator';
}

async function bodyOf(c: Context): Promise<unknown> {
  try {
    return JSON.parse(await c.req.text()) as unknown;
  } catch {
    return null;
  }
}

function platformDetail(failure: PlatformFailure): string {
  return failure.kind === 'conflict' ? 'conflict' : failure.detail;
}

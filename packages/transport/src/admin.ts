// The HTTP API for operators. It only validates and forwards requests and shows state; all
// decisions are made behind the interfaces below.

import { serve, type ServerType } from '@hono/node-server';
import {
  codecs,
  decode,
  validateCatalogue,
  formatProblem,
  routerStatusCodec,
  type RolloutStatus,
  type AdminError,
  type ChangeResponse,
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
import { hasDrainTarget, serversOfFleet, teamUsageOfFleet } from './fleetView.js';
import type { MeterSnapshot } from './meter.js';

/** The operations on the catalogue that the admin API offers. */
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

/** The state and the actions that the admin API offers. */
export interface AdminSource {
  /** The status of this router. */
  status(): RouterStatus;
  /** The status of another router, not decoded yet. */
  peerStatus(router: RouterName): ResultAsync<unknown, string>;
  metrics(): MeterSnapshot;
  readonly catalogue: AdminCatalogue;
  /** Begins a graceful shutdown of this router and returns at once. */
  stop(): void;
}

export interface AdminOptions {
  /** IP address to listen on. */
  readonly host: string;
  /** Port to listen on; 0 lets the system choose one. */
  readonly port: number;
  /** Bearer token of operators. */
  readonly token: string;
  readonly source: AdminSource;
}

/** Maximum size of a request body, above the largest catalogue expected (about 10 MB). */
const maxRequestBytes = 64 * 1024 * 1024;
/** Maximum time for another router to answer with its status. */
const statusTimeout: Milliseconds = 1000;

/** Grace period for requests in progress when the port closes. */
const closeGracePeriod: Milliseconds = 1000;

/** The HTTP server of the admin API. */
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
   * Stops listening, and closes the remaining connections after a grace period of a second: a
   * client that keeps sending requests on one connection would otherwise keep the server open
   * forever.
   */
  close(): Promise<void> {
    return new Promise((resolve) => {
      const server = this.#server;
      const timer = setTimeout(() => {
        if ('closeAllConnections' in server) server.closeAllConnections();
      }, closeGracePeriod);
      server.close(() => {
        clearTimeout(timer);
        resolve();
      });
      if ('closeIdleConnections' in server) server.closeIdleConnections();
    });
  }
}

/** The routes of the admin API. */
export function adminApp(token: string, source: AdminSource): Hono {
  const { catalogue } = source;
  const app = new Hono();
  app.onError((error, c) =>
    error instanceof HTTPException
      ? error.getResponse()
      : errorResponse(c, 500, 'internal error', error.message),
  );
  app.notFound((c) =>
    errorResponse(c, 404, 'not found', `no such endpoint: ${c.req.method} ${c.req.path}`),
  );
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
  app.use('/admin/*', bodyLimit({ maxSize: maxRequestBytes }));

  app.get('/admin/status', async (c) => c.json(await fleetStatus(source)));
  app.get('/admin/metrics', (c) => c.json(source.metrics()));
  app.get('/admin/teams', async (c) => c.json(teamUsageOfFleet(await fleetStatus(source))));
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
    return errorResponse(c, 503, 'platform unavailable', platformDetail(history.error));
  });
  app.post('/admin/drain', (c) => drain(c, source, true));
  app.post('/admin/restore', (c) => drain(c, source, false));
  app.post('/admin/stop', async (c) => stop(c, source));
  return app;
}

async function fleetStatus(source: AdminSource): Promise<FleetStatus> {
  const ownStatus = source.status();
  const others = ownStatus.members.filter(({ mayTakeWork }) => mayTakeWork);
  const statuses = await Promise.all(
    others.map(async ({ router }) => {
      const timeout = new Promise<undefined>((resolve) => {
        setTimeout(() => {
          resolve(undefined);
        }, statusTimeout).unref();
      });
      const result = await Promise.race([source.peerStatus(router.name), timeout]);
      const status = result?.isOk() === true ? decode(routerStatusCodec, result.value) : undefined;
      return { name: router.name, status: status?.isOk() === true ? status.value : undefined };
    }),
  );
  return {
    revision: ownStatus.revision,
    routers: [
      ownStatus,
      ...statuses.flatMap(({ status }) => (status === undefined ? [] : [status])),
    ],
    unreachable: statuses.flatMap(({ name, status }) => (status === undefined ? [name] : [])),
  };
}

const putCodec = codecs.strictObject<{ readonly base: Revision; readonly catalogue: unknown }>({
  base: codecs.nonNegativeInteger,
  catalogue: codecs.anyValue,
});

async function applyCatalogue(c: Context, catalogue: AdminCatalogue): Promise<Response> {
  const body = decode(putCodec, await bodyOf(c));
  if (body.isErr()) return errorResponse(c, 400, 'bad request', body.error);
  const { base } = body.value;
  const problems = validateCatalogue(body.value.catalogue);
  if (problems.length > 0) return applyFailureResponse(c, { kind: 'invalid', problems });
  const next = body.value.catalogue as CatalogueDocument;
  const result = await catalogue.replace(base, next, authorOf(c));
  return changeResponse(c, catalogue, result);
}

async function drain(c: Context, source: AdminSource, isDrained: boolean): Promise<Response> {
  const target = targetOf(await bodyOf(c));
  if (target === undefined) {
    return errorResponse(c, 400, 'bad request', 'expected either dataCentre or vm with a name');
  }
  const { catalogue } = source;
  if (!hasDrainTarget(catalogue.current(), source.status(), target)) {
    const detail = `no server or router is in ${target.kind} "${target.name}"`;
    return errorResponse(c, 404, 'unknown name', detail);
  }
  const result = await catalogue.amend(
    (current) => drainChange(current, target, isDrained),
    authorOf(c),
  );
  return changeResponse(c, catalogue, result);
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
    return errorResponse(
      c,
      409,
      'another router',
      `this is router ${name}, not ${JSON.stringify(router)}`,
    );
  }
  source.stop();
  return c.json({ router: name }, 202);
}

function changeResponse(
  c: Context,
  catalogue: AdminCatalogue,
  result: Result<Revision, ApplyFailure>,
): Response {
  if (result.isErr()) return applyFailureResponse(c, result.error);
  const applied: ChangeResponse = catalogue.rolloutStatus(result.value);
  return c.json(applied);
}

function applyFailureResponse(c: Context, failure: ApplyFailure): Response {
  switch (failure.kind) {
    case 'conflict':
      return errorResponse(
        c,
        409,
        'conflict',
        `the catalogue is at revision ${failure.current}`,
        failure,
      );
    case 'invalid':
      return errorResponse(
        c,
        422,
        'invalid',
        failure.problems.map(formatProblem).join('; '),
        failure,
      );
    case 'unavailable':
      return errorResponse(
        c,
        503,
        'platform unavailable',
        `nothing was changed: ${failure.detail}`,
        failure,
      );
    case 'unknown':
      return errorResponse(
        c,
        504,
        'outcome unknown',
        `the history will show whether the change was committed: ${failure.detail}`,
        failure,
      );
  }
}

function errorResponse(
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

/** The operator's name, recorded in the history of the catalogue. */
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

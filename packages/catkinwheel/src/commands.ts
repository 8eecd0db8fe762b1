// Implementations of the commands. cli.ts parses their arguments.

import type { RolloutStatus } from '@catkinwheel/protocol';
import {
  Clock,
  diffCatalogues,
  isEmptyChange,
  type CatalogueDocument,
  type DrainTarget,
  type Milliseconds,
  type Revision,
} from '@catkinwheel/state';
import { createHash, randomBytes } from 'node:crypto';
import { catalogueText, readCatalogue } from './catalogueFile.js';
import type { Client } from './client.js';
import { doneOutcome, exitCodes, failedOutcome, type Outcome } from './outcome.js';
import { explanationsText, summaryText } from './renderLogs.js';
import { changeText, historyText, serversText, statusText, teamsText } from './render.js';
import { LogFileError } from './routerLog.js';
import { explain as explainRequest } from './requestExplanation.js';
import { summarize } from './daySummary.js';

/** Period of polling whether a change is in force everywhere. */
const rolloutPollPeriod: Milliseconds = 200;
const keyBytes = 32;

export function check(file: string): Outcome {
  return readCatalogue(file).match(({ services, servers, teams, entries }) => {
    const counts = { services, servers, teams, entries };
    const sizes = Object.entries(counts).map(([name, section]) => {
      return [name, Object.keys(section).length] as const;
    });
    const text = `${file}: valid, ${sizes.map(([name, size]) => `${size} ${name}`).join(', ')}`;
    return doneOutcome(text, { valid: true, ...Object.fromEntries(sizes) });
  }, failedOutcome);
}

/** Creates a random key and its hash. Only the hash belongs in the catalogue. */
export function newKey(): Outcome {
  const key = randomBytes(keyBytes).toString('base64url');
  const sha256 = createHash('sha256').update(key).digest('hex');
  const text = `key for the caller, shown only now:  ${key}\nsha-256 for the catalogue file:      ${sha256}`;
  return doneOutcome(text, { key, sha256 });
}

export async function status(client: Client): Promise<Outcome> {
  return (await client.status()).match(
    (value) => doneOutcome(statusText(value), value),
    failedOutcome,
  );
}

export async function teams(client: Client): Promise<Outcome> {
  return (await client.teams()).match(
    (value) => doneOutcome(teamsText(value), value),
    failedOutcome,
  );
}

export async function servers(client: Client): Promise<Outcome> {
  return (await client.servers()).match(
    (value) => doneOutcome(serversText(value), value),
    failedOutcome,
  );
}

export async function catalogueGet(client: Client): Promise<Outcome> {
  return (await client.catalogue()).match(
    (value) => doneOutcome(catalogueText(value).trimEnd(), value),
    failedOutcome,
  );
}

export async function catalogueHistory(client: Client): Promise<Outcome> {
  return (await client.history()).match(
    (value) => doneOutcome(historyText(value), value),
    failedOutcome,
  );
}

/** Compares the file with the catalogue in force. */
export async function catalogueDiff(client: Client, file: string): Promise<Outcome> {
  const parsed = readCatalogue(file);
  if (parsed.isErr()) return failedOutcome(parsed.error);
  return (await client.catalogue()).match((current) => {
    const change = diffCatalogues(current, { ...current, ...parsed.value });
    const text = isEmptyChange(change) ? 'no difference' : changeText(current, change);
    return doneOutcome(text, { revision: current.revision, change });
  }, failedOutcome);
}

export interface ApplyOptions {
  /** Revision that the change is based on; by default that of the file, else 0. */
  readonly base: Revision | undefined;
  /** Longest wait for the change to be in force everywhere. */
  readonly wait: Milliseconds;
}

export async function catalogueApply(
  client: Client,
  file: string,
  options: ApplyOptions,
): Promise<Outcome> {
  const parsed = readCatalogue(file);
  if (parsed.isErr()) return failedOutcome(parsed.error);
  const base = options.base ?? parsed.value.revision ?? 0;
  const applied = await client.replace(base, withoutRevision(parsed.value));
  if (applied.isErr()) return failedOutcome(applied.error);
  return waitForRollout(client, applied.value, options.wait);
}

export async function drain(
  client: Client,
  target: DrainTarget,
  isDrained: boolean,
  wait: Milliseconds,
): Promise<Outcome> {
  const applied = await client.drain(target, isDrained);
  if (applied.isErr()) return failedOutcome(applied.error);
  return waitForRollout(client, applied.value, wait);
}

export async function stop(client: Client, router: string | undefined): Promise<Outcome> {
  return (await client.stop(router)).match(
    (value) =>
      doneOutcome(`router ${String(value.router)} completes its requests and stops`, value),
    failedOutcome,
  );
}

/** Explains the outcome of a request from the logs of all routers. */
export async function explain(id: string, files: readonly string[]): Promise<Outcome> {
  return withLogErrors(async () => {
    const found = await explainRequest(id, files);
    if (found.stories.length > 0) return doneOutcome(explanationsText(found), found);
    const detail =
      `no line for request ${id} in ${files.length} files: it was not received completely, its router ended first, ` +
      `or the line is one of ${found.dropped} that were dropped under load`;
    return { code: exitCodes.failed, text: detail, json: { ...found, detail } };
  });
}

/** Summarises a day from the logs of all routers. */
export async function logs(files: readonly string[]): Promise<Outcome> {
  return withLogErrors(async () => {
    const summary = await summarize(files);
    return doneOutcome(summaryText(summary), summary);
  });
}

async function withLogErrors(read: () => Promise<Outcome>): Promise<Outcome> {
  try {
    return await read();
  } catch (error) {
    if (error instanceof LogFileError)
      return failedOutcome({ kind: 'file', detail: error.message, problems: [] });
    throw error;
  }
}

/** Waits until a committed change is in force at every router that may accept requests. */
async function waitForRollout(
  client: Client,
  committed: RolloutStatus,
  wait: Milliseconds,
): Promise<Outcome> {
  const clock = Clock.system();
  const deadline = clock.now() + wait;
  let rollout = committed;
  while (rollout.missing.length > 0 && clock.now() < deadline) {
    await clock.sleep(rolloutPollPeriod);
    const polled = await client.rolloutStatus(committed.revision);
    if (polled.isOk()) rollout = polled.value;
  }
  const { revision, missing } = rollout;
  if (missing.length === 0)
    return doneOutcome(`revision ${revision} is in force everywhere`, rollout);
  return {
    code: exitCodes.notInForce,
    text: `revision ${revision} is committed, but not yet in force at ${missing.join(', ')}`,
    json: rollout,
  };
}

function withoutRevision(document: CatalogueDocument): CatalogueDocument {
  const { services, servers: fileServers, teams: fileTeams, entries, drain: drains } = document;
  const sections = { services, servers: fileServers, teams: fileTeams, entries };
  return drains === undefined ? sections : { ...sections, drain: drains };
}

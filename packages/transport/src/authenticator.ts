// Authentication and authorisation of callers. The catalogue contains hashes of the bearer keys,
// not the keys.

import { createHash } from 'node:crypto';
import type { Catalogue, Entry, EntryName, Failure, TeamName } from '@catkinwheel/state';
import { notRun } from '@catkinwheel/state';
import { err, ok, type Result } from 'neverthrow';

/** Finds the team of a key by its hash, in an index that is rebuilt when the catalogue changes. */
export class Authenticator {
  #catalogue: Catalogue | undefined;
  #teams: ReadonlyMap<string, TeamName> = new Map();

  private constructor() {
    // Instances come from `create`.
  }

  static create(): Authenticator {
    return new Authenticator();
  }

  /** The team whose key is in the `Authorization` header field. */
  authenticate(catalogue: Catalogue, authorization: string | undefined): Result<TeamName, Failure> {
    const key = authorization === undefined ? undefined : bearer.exec(authorization)?.[1];
    if (key === undefined) return err(notRun('unauthenticated', 'a bearer key is required'));
    const hash = createHash('sha256').update(key).digest('hex');
    const team = this.#teamsOf(catalogue).get(hash);
    return team === undefined
      ? err(notRun('unauthenticated', 'the bearer key is unknown'))
      : ok(team);
  }

  /** The entry, if the team owns it. */
  authorize(catalogue: Catalogue, team: TeamName, name: EntryName): Result<Entry, Failure> {
    const entry = Object.hasOwn(catalogue.entries, name) ? catalogue.entries[name] : undefined;
    if (entry === undefined) return err(notRun('unknownEntry', 'there is no such entry'));
    if (entry.team === team) return ok(entry);
    return err(notRun('forbidden', 'the entry belongs to another team'));
  }

  #teamsOf(catalogue: Catalogue): ReadonlyMap<string, TeamName> {
    if (this.#catalogue !== catalogue) {
      this.#catalogue = catalogue;
      this.#teams = new Map(
        Object.entries(catalogue.teams).flatMap(([team, { keys }]) =>
          keys.map((key) => [key.toLowerCase(), team] as const),
        ),
      );
    }
    return this.#teams;
  }
}

const bearer = /^bearer +(\S+)$/i;

// Notifies operators when requests of a team wait too long: once at the start and once at the end.

import type { Milliseconds, TeamName } from '@catkinwheel/state';
import type { CatalogueView, EventLog, Metrics } from './ports.js';

interface AlarmOptions {
  readonly catalogue: CatalogueView;
  readonly metrics: Metrics;
  readonly eventLog: EventLog;
}

/** Alarms for teams whose oldest queued request has waited for longer than their `waitAlarm`. */
export class WaitAlarms {
  readonly #options: AlarmOptions;
  readonly #raisedTeams = new Set<TeamName>();

  private constructor(options: AlarmOptions) {
    this.#options = options;
  }

  static create(options: AlarmOptions): WaitAlarms {
    return new WaitAlarms(options);
  }

  /** Compares the age of the oldest queued request of each team with the team's limit. */
  check(oldest: ReadonlyMap<TeamName, Milliseconds>): void {
    const { teams } = this.#options.catalogue.current();
    for (const [team, wait] of oldest) {
      const limit = teams[team]?.waitAlarm ?? Infinity;
      if (wait > limit && !this.#raisedTeams.has(team)) this.#raise(team, wait);
    }
    for (const team of this.#raisedTeams) {
      const wait = oldest.get(team) ?? 0;
      if (wait <= (teams[team]?.waitAlarm ?? Infinity)) this.#clear(team);
    }
  }

  #raise(team: TeamName, wait: Milliseconds): void {
    this.#raisedTeams.add(team);
    this.#options.metrics.count('team.waitAlarm', { team });
    this.#options.eventLog.record('team.waitAlarm', { team, state: 'raised', oldestWaitMs: wait });
  }

  #clear(team: TeamName): void {
    this.#raisedTeams.delete(team);
    this.#options.eventLog.record('team.waitAlarm', { team, state: 'cleared' });
  }
}

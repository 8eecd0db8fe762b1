// Which settings take effect while a router runs. The settings file may change at any time, and a router that is never restarted
// must follow what it can; the rest is bound to listeners, to names that other routers know, or to counts over a window.

import type { Settings } from '@catkinwheel/platform';

/** The result of reading the settings again. */
export interface SettingsUpdate {
  /** The settings in force from now on. */
  readonly settings: Settings;
  /** Names of the changed ones that are in force. */
  readonly applied: readonly string[];
  /** Names of the changed ones that take effect at the next start. */
  readonly needRestart: readonly string[];
}

/** Used at the start only, so that a change needs no action. */
const usedAtStart: ReadonlySet<string> = new Set(['seeds', 'isFirstStart']);

/** Applies what can change while a router runs. */
export function updateSettings(current: Settings, read: Settings): SettingsUpdate {
  const { regionOf, store } = read;
  const bounds = { ...read.bounds, retryWindow: current.bounds.retryWindow };
  const settings = { ...current, regionOf, store, bounds };
  return {
    settings,
    applied: changes(current, settings),
    needRestart: changes(settings, read).filter((name) => !usedAtStart.has(name)),
  };
}

/** Names of the fields that differ; those of `bounds` and `listen` with the name of the object before them. */
function changes(before: object, after: object): readonly string[] {
  const known = new Map(Object.entries(before) as [string, unknown][]);
  return (Object.entries(after) as [string, unknown][]).flatMap(([name, value]) => {
    const old = known.get(name);
    if (JSON.stringify(old) === JSON.stringify(value)) return [];
    const isGroup = name === 'bounds' || name === 'listen';
    return isGroup
      ? changes(old as object, value as object).map((part) => `${name}.${part}`)
      : [name];
  });
}

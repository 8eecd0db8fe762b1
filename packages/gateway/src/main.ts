// Entry point of the router in a platform deployment. An environment variable holds the path of its settings file.

// Loaded before all other modules, so that signals during their evaluation are kept.
import { processSignals } from '@catkinwheel/transport/processSignals';
import { standardError } from '@catkinwheel/transport/lineOutput';
import { readFileSync } from 'node:fs';
import { decodeSettings, settingsVariable, type Settings } from '@catkinwheel/platform';
import { Gateway } from './gateway.js';

/** Exit codes of the program. */
const exitCodes = { stopped: 0, failed: 1, usage: 2 } as const;

function readSettings(): Settings {
  const file = process.env[settingsVariable];
  if (file === undefined) throw new Error(`${settingsVariable} is not set`);
  const settings = decodeSettings(readFileSync(file, 'utf8'));
  if (settings.isErr()) throw new Error(`${file}: ${settings.error}`);
  return settings.value;
}

function fail(code: number, error: unknown): never {
  const detail = error instanceof Error ? error.message : String(error);
  standardError.write(`catkinwheel: ${detail}`);
  process.exit(code);
}

let settings: Settings;
try {
  settings = readSettings();
} catch (error) {
  fail(exitCodes.usage, error);
}

try {
  const gateway = await Gateway.start(settings);
  processSignals.handle({
    stop: () => {
      void gateway.stop().then(() => process.exit(exitCodes.stopped));
    },
    reload: () => {
      try {
        gateway.update(readSettings());
      } catch (error) {
        standardError.write(`catkinwheel: settings not read again: ${String(error)}`);
      }
    },
  });
} catch (error) {
  fail(exitCodes.failed, error);
}

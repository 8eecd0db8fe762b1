#!/usr/bin/env node
// Command line of the router daemon: options, signals and exit codes.

// Loaded before all other modules, so that signals during their evaluation are kept.
import { processSignals } from '@catkinwheel/transport/processSignals';
import { standardError, standardOutput } from '@catkinwheel/transport/lineOutput';
import { readFileSync } from 'node:fs';
import sade from 'sade';
import { Daemon } from './daemon.js';
import { RouterEventLog } from './eventLog.js';
import { formatSettingsError, parseSettings } from './settingsParser.js';
import { settingsSchema, type Settings } from './settings.js';

/** Exit codes of the daemon; `cut` means that requests were aborted. */
const exitCodes = { stopped: 0, failed: 1, usage: 2, cut: 3 } as const;

interface Options {
  readonly settings?: string;
}

sade('catkinwheeld', true)
  .version('0.1.0')
  .describe('Runs one router of the fleet.')
  .option('--settings', 'YAML file with the settings of this router')
  .option('--check', 'Check the settings and exit')
  .example('--settings /etc/catkinwheel/router.yaml')
  .action((options: Options & { readonly check?: boolean }) => {
    const settings = readSettings(options.settings);
    if (settings === undefined) process.exit(exitCodes.usage);
    if (options.check !== true) void run(settings);
  })
  .parse(process.argv);

function readSettings(file: string | undefined): Settings | undefined {
  if (file === undefined) {
    standardError.write('--settings is missing; expected a YAML file');
    return undefined;
  }
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    standardError.write(`${file}: ${messageOf(error)}`);
    return undefined;
  }
  return parseSettings(file, text, settingsSchema).match(
    (settings) => settings,
    (errors) => {
      for (const error of errors) standardError.write(formatSettingsError(error));
      return undefined;
    },
  );
}

async function run(settings: Settings): Promise<void> {
  const eventLog = RouterEventLog.create(settings.router.name, settings.log);
  let daemon: Daemon;
  try {
    daemon = await Daemon.start(settings, eventLog, () => {
      process.kill(process.pid, 'SIGTERM');
    });
  } catch (error) {
    eventLog.fault('start failed', { error: messageOf(error) });
    process.exit(exitCodes.failed);
  }
  standardOutput.write(JSON.stringify({ event: 'ready', ...daemon.addresses }));
  handleSignals(daemon, eventLog);
}

/** SIGTERM and SIGINT stop gracefully, once; a further SIGINT from a terminal stops at once. SIGHUP reloads the TLS files. */
function handleSignals(daemon: Daemon, eventLog: RouterEventLog): void {
  processSignals.handle({
    stop: () => {
      void daemon.stop().then(() => {
        process.exit(exitCodes.stopped);
      });
    },
    abort: () => {
      void daemon.abort().then((abortedRequests) => {
        process.exit(abortedRequests > 0 ? exitCodes.cut : exitCodes.stopped);
      });
    },
    reload: () => {
      try {
        daemon.reloadTls();
        eventLog.record('tls reloaded');
      } catch (error) {
        eventLog.fault('tls not reloaded', { error: messageOf(error) });
      }
    },
  });
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}

// Commands and options of the operators' command line, and the help text.

import type { DrainTarget, Milliseconds } from '@catkinwheel/state';
import sade from 'sade';
import { Client } from './client.js';
import * as commands from './commands.js';
import { exampleCatalogue } from './exampleCatalogue.js';
import { doneOutcome, failedOutcome, type Outcome } from './outcome.js';

interface Options {
  /** Positional arguments beyond the declared ones. */
  readonly _?: readonly string[];
  readonly json?: boolean;
  readonly router?: string;
  readonly token?: string;
  readonly author?: string;
  readonly base?: string;
  readonly wait?: string;
}

/** Environment variables; some are defaults of options. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** A parsed command line. `run` never rejects. */
export interface Invocation {
  readonly json: boolean;
  run(): Promise<Outcome>;
}

const defaultWaitSeconds = '10';
const millisecondsPerSecond = 1000;

const helpText = [
  'Operates a fleet of catkinwheel routers.',
  'First steps, from nothing to a change in force:',
  '  1. export CATKINWHEEL_ROUTER=127.0.0.1:8082 CATKINWHEEL_TOKEN=...   (listen.admin and operators.token of a router)',
  '  2. catkinwheel status                           shows the routers',
  '  3. catkinwheel catalogue example > fleet.yaml   writes a first catalogue',
  '  4. catkinwheel key                              creates a caller key; put its SHA-256 into fleet.yaml',
  '  5. catkinwheel check fleet.yaml                 reports errors with their lines',
  '  6. catkinwheel catalogue apply fleet.yaml       puts it in force everywhere',
  'To change it later:',
  '  catkinwheel catalogue get > fleet.yaml, edit, catkinwheel catalogue diff fleet.yaml, then apply.',
  'Exit codes: 0 done, 1 failed, 2 usage, 3 conflict (another change was committed first), 4 unreachable,',
  '  5 committed but not yet in force everywhere.',
];

/**
 * Parses a command line. On an unknown command or option, prints help and ends the process with
 * code 1, which the parser does not let callers choose. Undefined if only help or the version was
 * requested.
 */
export function parse(argv: readonly string[], environment: Environment): Invocation | undefined {
  let invocation: Invocation | undefined;
  const localCommand = (options: Options, run: () => Outcome): void => {
    invocation = { json: options.json === true, run: () => Promise.resolve(run()) };
  };
  const logCommand = (options: Options, run: () => Promise<Outcome>): void => {
    invocation = { json: options.json === true, run };
  };
  const routerCommand = (options: Options, run: (client: Client) => Promise<Outcome>): void => {
    invocation = {
      json: options.json === true,
      run: async () => {
        const client = createClient(options, environment);
        return typeof client === 'string' ? usage(client) : run(client);
      },
    };
  };
  const program = sade('catkinwheel')
    .version('0.1.0')
    .describe(helpText)
    .option('--router', 'Admin address of a router, host:port (or CATKINWHEEL_ROUTER)')
    .option('--token', 'Operator token (or CATKINWHEEL_TOKEN)')
    .option('--author', 'Your name for the history (or USER)')
    .option('--json', 'Print one JSON value');

  program
    .command('check <file>', 'Check a catalogue file without a router.')
    .example('check fleet.yaml')
    .action((file: string, options: Options) => {
      localCommand(options, () => commands.check(file));
    });
  program
    .command('key', 'Make a random key for a caller and its SHA-256 for the catalogue.')
    .example('key --json')
    .action((options: Options) => {
      localCommand(options, commands.newKey);
    });
  program
    .command('explain <id> <log>', 'Explain the outcome of a request from the logs of all routers.')
    .example('explain 764cbef9b9a0c902 front-suva-1.log front-suva-2.log')
    .action((id: string, log: string, options: Options) => {
      logCommand(options, () => commands.explain(id, [log, ...(options._ ?? [])]));
    });
  program
    .command('logs <log>', "Summarise a day from the routers' logs.")
    .example('logs *.log --json')
    .action((log: string, options: Options) => {
      logCommand(options, () => commands.logs([log, ...(options._ ?? [])]));
    });
  program
    .command('status', 'Show the routers.')
    .example('status --router 127.0.0.1:8082')
    .action((options: Options) => {
      routerCommand(options, commands.status);
    });
  program
    .command('teams', 'Show waiting and running work of each team over all routers.')
    .action((options: Options) => {
      routerCommand(options, commands.teams);
    });
  program
    .command('servers', 'Show the servers, their state and their keepers.')
    .action((options: Options) => {
      routerCommand(options, commands.servers);
    });
  program
    .command('catalogue example', 'Print a catalogue to start from.')
    .example('catalogue example > fleet.yaml')
    .action((options: Options) => {
      localCommand(options, () =>
        doneOutcome(exampleCatalogue.trimEnd(), { text: exampleCatalogue }),
      );
    });
  program
    .command('catalogue get', 'Print the catalogue in force as YAML.')
    .example('catalogue get > fleet.yaml')
    .action((options: Options) => {
      routerCommand(options, commands.catalogueGet);
    });
  program
    .command('catalogue diff <file>', 'Show what applying a file would change.')
    .example('catalogue diff fleet.yaml')
    .action((file: string, options: Options) => {
      routerCommand(options, (client) => commands.catalogueDiff(client, file));
    });
  program
    .command('catalogue apply <file>', 'Put a catalogue file in force everywhere.')
    .option('--base', 'Revision that the file is based on; by default the one in the file, else 0')
    .option('--wait', 'Seconds to wait until it is in force everywhere', defaultWaitSeconds)
    .example('catalogue apply fleet.yaml')
    .example('catalogue apply fleet.yaml --base 7 --wait 30')
    .action((file: string, options: Options) => {
      const base = parseWholeNumber(options.base);
      const wait = parseWait(options);
      routerCommand(options, (client) =>
        base === 'invalid' || wait === undefined
          ? Promise.resolve(usage('--base and --wait must be whole numbers'))
          : commands.catalogueApply(client, file, { base, wait }),
      );
    });
  program
    .command('catalogue history', 'List the changes, newest first.')
    .action((options: Options) => {
      routerCommand(options, commands.catalogueHistory);
    });
  for (const isDrained of [true, false]) {
    const verb = isDrained ? 'drain' : 'restore';
    const description = isDrained ? 'Take out of service' : 'Put back into service';
    program
      .command(
        `${verb} <kind> <name>`,
        `${description} a data centre (kind data-centre) or a VM (kind vm).`,
      )
      .option('--wait', 'Seconds to wait until it is in force everywhere', defaultWaitSeconds)
      .example(`${verb} data-centre suva`)
      .example(`${verb} vm vm-letters-1`)
      .action((kind: string, name: string, options: Options) => {
        const target = parseTarget(kind, name);
        const wait = parseWait(options);
        routerCommand(options, (client) =>
          target === undefined || wait === undefined
            ? Promise.resolve(
                usage(`usage: catkinwheel ${verb} data-centre|vm NAME [--wait SECONDS]`),
              )
            : commands.drain(client, target, isDrained, wait),
        );
      });
  }
  program
    .command(
      'stop [name]',
      'Stop the addressed router after its open requests; with a name, only if it has that name.',
    )
    .example('stop r1 --router 127.0.0.1:8082')
    .action((name: string | undefined, options: Options) => {
      routerCommand(options, (client) => commands.stop(client, name));
    });

  program.parse([...argv], {
    boolean: ['json'],
    string: ['_', 'router', 'token', 'author', 'base', 'wait'],
    unknown: (flag) => `Unknown option: ${flag}`,
  });
  return invocation;
}

function usage(detail: string): Outcome {
  return failedOutcome({ kind: 'usage', detail });
}

/** A client, or an error message if an option is missing. */
function createClient(options: Options, environment: Environment): Client | string {
  const router = options.router ?? environment.CATKINWHEEL_ROUTER;
  const token = options.token ?? environment.CATKINWHEEL_TOKEN;
  if (router === undefined || router === '') {
    return 'no router: pass --router HOST:PORT or set CATKINWHEEL_ROUTER';
  }
  if (token === undefined || token === '') {
    return 'no operator token: pass --token or set CATKINWHEEL_TOKEN';
  }
  const author = options.author ?? environment.USER ?? 'operator';
  return Client.create({ router: router.replace(/^http:\/\//, ''), token, author });
}

function parseTarget(kind: string, name: string): DrainTarget | undefined {
  if (kind === 'data-centre') return { kind: 'dataCentre', name };
  return kind === 'vm' ? { kind: 'vm', name } : undefined;
}

function parseWholeNumber(value: string | undefined): number | undefined | 'invalid' {
  if (value === undefined) return undefined;
  return /^\d{1,15}$/.test(value) ? Number(value) : 'invalid';
}

function parseWait(options: Options): Milliseconds | undefined {
  const seconds = parseWholeNumber(options.wait ?? defaultWaitSeconds);
  return typeof seconds === 'number' ? seconds * millisecondsPerSecond : undefined;
}

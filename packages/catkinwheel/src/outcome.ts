// Outcome of a command: an exit code for scripts, a text for people and a JSON value for programs.

import type { AdminError } from '@catkinwheel/protocol';

/** Exit codes, as documented in the help text. */
export const exitCodes = {
  done: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  /** The router or its platform is unreachable. */
  notReachable: 4,
  notInForce: 5,
} as const;

export type ExitCode = (typeof exitCodes)[keyof typeof exitCodes];

/** The result of a command. `text` is for people, `json` for `--json`. */
export interface Outcome {
  readonly code: ExitCode;
  readonly text: string;
  readonly json: unknown;
}

/** Why a command failed. */
export type Failure =
  | { readonly kind: 'usage'; readonly detail: string }
  | { readonly kind: 'file'; readonly detail: string; readonly problems: readonly string[] }
  /** There was no response from the router. If it reports that its platform is unreachable, the kind is `refused`. */
  | { readonly kind: 'notReachable'; readonly detail: string }
  /** The router refused the request. */
  | { readonly kind: 'refused'; readonly error: AdminError }
  /** The response does not have the form that this version of the command expects. */
  | { readonly kind: 'malformed'; readonly detail: string };

export function doneOutcome(text: string, json: unknown): Outcome {
  return { code: exitCodes.done, text, json };
}

/** The outcome of a failed command. */
export function failedOutcome(failure: Failure): Outcome {
  const { code, detail } = codeAndDetail(failure);
  return { code, text: detail, json: { error: { ...failure, detail } } };
}

function codeAndDetail(failure: Failure): { readonly code: ExitCode; readonly detail: string } {
  switch (failure.kind) {
    case 'usage':
      return { code: exitCodes.usage, detail: failure.detail };
    case 'file':
      return { code: exitCodes.failed, detail: [...failure.problems, failure.detail].join('\n') };
    case 'notReachable':
      return { code: exitCodes.notReachable, detail: failure.detail };
    case 'malformed':
      return { code: exitCodes.failed, detail: failure.detail };
    case 'refused':
      return refusalCodeAndDetail(failure.error);
  }
}

function refusalCodeAndDetail(error: AdminError): {
  readonly code: ExitCode;
  readonly detail: string;
} {
  switch (error.failure?.kind) {
    case 'conflict': {
      const next =
        'fetch the catalogue again with "catkinwheel catalogue get", redo the change and apply it';
      return { code: exitCodes.conflict, detail: `conflict: ${error.detail}; ${next}` };
    }
    case 'unavailable':
      return { code: exitCodes.notReachable, detail: error.detail };
    case 'unknown':
      return {
        code: exitCodes.failed,
        detail: `${error.detail}; see "catkinwheel catalogue history" before you retry`,
      };
    case 'invalid':
    case undefined: {
      const code = error.status === 503 ? exitCodes.notReachable : exitCodes.failed;
      return { code, detail: `${error.title}: ${error.detail}` };
    }
  }
}

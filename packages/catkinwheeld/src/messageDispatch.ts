// Dispatches each message from a peer to the components that handle its kind.

import type { Admission, Keepers, Ledger, Membership } from '@catkinwheel/coordination';
import type { Message } from '@catkinwheel/protocol';
import type { RouterName } from '@catkinwheel/state';

export interface MessageReceivers {
  readonly membership: Membership;
  readonly keepers: Keepers;
  readonly ledger: Ledger;
  /** Undefined under the policies `local` and `equalShare`, under which routers exchange no messages for admission. */
  readonly admission: Admission | undefined;
}

/** Delivers one message to its receivers. */
export function dispatchMessage(
  receivers: MessageReceivers,
  from: RouterName,
  message: Message,
): void {
  const { membership, keepers, ledger, admission } = receivers;
  switch (message.kind) {
    case 'heartbeat':
      membership.receive(from, message);
      return;
    case 'demand':
    case 'release':
    case 'started':
    case 'holding':
    case 'handover':
      keepers.receive(from, message);
      return;
    case 'takeover':
      keepers.receive(from, message);
      admission?.receive(from, message);
      return;
    case 'grant':
    case 'revoke':
    case 'level':
      admission?.receive(from, message);
      return;
    case 'report':
      ledger.receive(from, message);
      return;
  }
}

// Names of the parties, as they appear in settings, messages and the catalogue.

export type RouterName = string;
export type DataCentreName = string;
export type VmName = string;
export type ServerName = string;
export type ServiceName = string;
export type TeamName = string;
export type EntryName = string;
/** Random id of one run of a router process. */
export type Incarnation = string;
/** Number that rises with each new keeper of a server. */
export type FencingToken = number;
/** Number of a catalogue version; rises by one with each committed change. */
export type Revision = number;

/** A router as others reach it. Addresses are `host:port` with an IP number. */
export interface Router {
  readonly name: RouterName;
  readonly incarnation: Incarnation;
  readonly vm: VmName;
  readonly dataCentre: DataCentreName;
  /** Address for callers. */
  readonly address: string;
  /** Address for other routers. */
  readonly peerAddress: string;
}

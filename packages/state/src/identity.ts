// Identifiers of routers, servers, teams and other objects in settings, messages and the catalogue.

export type RouterName = string;
export type DataCentreName = string;
export type VmName = string;
export type ServerName = string;
export type ServiceName = string;
export type TeamName = string;
export type EntryName = string;
/** Random identifier of one run of a router process; it changes with each restart. */
export type Incarnation = string;
/**
 * Fencing token of a server. It rises with each new keeper: the router that holds the lease on the
 * server and admits requests to it.
 */
export type FencingToken = number;
/** Version number of the catalogue; rises by one with each committed change. */
export type Revision = number;

/** Identity and location of a router. Addresses are `host:port` with an IP address. */
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

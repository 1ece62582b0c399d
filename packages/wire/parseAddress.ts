import type { Address } from "./Address";

/** Parses `host:port`; an IPv6 host is in brackets. Throws a RangeError that quotes the text. */
export function parseAddress(text: string): Address {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2];
  const port = Number(match?.[3]);
  if (host === undefined || !(port > 0 && port < 65_536)) {
    throw new RangeError(`"${text}" is not an address of the form host:port`);
  }
  return { host, port };
}

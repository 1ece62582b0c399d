import type { Address } from "./Address";
import { matchAddress } from "./matchAddress";

/** Parses `host:port`; an IPv6 host is in brackets. Throws a RangeError that quotes the text. */
export function parseAddress(text: string): Address {
  const address = matchAddress(text);
  if (address === null) {
    throw new RangeError(`"${text}" is not an address of the form host:port`);
  }
  return address;
}

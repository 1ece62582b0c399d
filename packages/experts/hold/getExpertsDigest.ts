import { hashString } from "@clementinemux/common/hashString";

/** Digest of one rank's experts by layer set; independent of the order within a set. */
export function getExpertsDigest(experts: readonly (readonly number[])[]): number {
  const sorted = experts.map((set) => [...set].sort((left, right) => left - right));
  return hashString(JSON.stringify(sorted));
}

import { hashString } from "@clementinemux/common/hashString";

/** Digest of the experts of one rank by layer set; the order within a set does not matter. */
export function getExpertsDigest(experts: readonly (readonly number[])[]): number {
  const sorted = experts.map((set) => [...set].sort((left, right) => left - right));
  return hashString(JSON.stringify(sorted));
}

import type { ServiceLoad } from "./ServiceLoad";

/** Slots of a service that requests may take now, as seen by this gateway; above 0 if there is one. */
export function countFreeSlots({ cap, meanLoad, targets, slowPlaces }: ServiceLoad): number {
  return Math.max(0, (cap - meanLoad) * targets) + Math.floor(slowPlaces);
}

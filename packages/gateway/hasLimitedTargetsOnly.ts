import type { ServiceLoad } from "./ServiceLoad";

/** Whether all targets that accept requests take them with a permit only. */
export function hasLimitedTargetsOnly({ targets, limited, held, slowPlaces }: ServiceLoad): boolean {
  return limited > 0 && targets === 0 && held === 0 && slowPlaces === 0;
}

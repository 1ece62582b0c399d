import type { ExceptionSelector } from "@clementinemux/fleet/ExceptionSelector";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { FleetException } from "@clementinemux/fleet/FleetException";
import type { TeamSettings } from "./TeamSettings";
import type { TeamSubject } from "./TeamSubject";

const selectorFields = ["team", "model", "service", "region"] as const;

/**
 * Applies the matching exceptions to the defaults, field by field. A selector with more fields wins; of two
 * with equally many, the one created later, then the one with the greater id, so that every entry agrees.
 */
export function getTeamSettings(config: FleetConfig, subject: TeamSubject): TeamSettings {
  const { defaults } = config;
  const exceptions = config.exceptions
    .filter(({ selector }) => isMatch(selector, subject))
    .sort(compareStrength);
  const override = Object.assign({}, ...exceptions.map((exception) => getSetFields(exception))) as Partial<
    FleetException["override"]
  >;
  const requestClass = override.requestClass ?? defaults.teamClass;
  const classDefaults = defaults.classes[requestClass];
  return {
    requestClass,
    classDefaults,
    deadlineMs: override.deadlineMs ?? classDefaults.deadlineMs,
    requestsPerS: override.requestsPerS ?? defaults.teamRequestsPerS,
    tokensPerS: override.tokensPerS ?? defaults.teamTokensPerS,
    teamWeight: override.weight ?? defaults.teamWeight,
    exceptionIds: exceptions.map(({ id }) => id),
  };
}

function isMatch(selector: ExceptionSelector, subject: TeamSubject): boolean {
  // An exception for a group governs the moving of experts, never requests.
  if (selector.group !== undefined) {
    return false;
  }
  return selectorFields.every((field) => selector[field] === undefined || selector[field] === subject[field]);
}

function compareStrength(left: FleetException, right: FleetException): number {
  return (
    countFields(left.selector) - countFields(right.selector) ||
    left.createdAtMs - right.createdAtMs ||
    (left.id < right.id ? -1 : 1)
  );
}

function countFields(selector: ExceptionSelector): number {
  return selectorFields.filter((field) => selector[field] !== undefined).length;
}

function getSetFields({ override }: FleetException): object {
  return Object.fromEntries(Object.entries(override).filter(([, value]) => value !== undefined));
}

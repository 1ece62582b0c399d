import type { ExceptionSelector } from "@clementinemux/fleet/ExceptionSelector";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { FleetException } from "@clementinemux/fleet/FleetException";
import type { TeamSettings } from "./TeamSettings";
import type { TeamSubject } from "./TeamSubject";

const selectorFields = ["team", "model", "service", "region"] as const;

/**
 * Applies the matching exceptions to the defaults, field by field. The selector with more fields wins. Ties
 * are broken by the later creation time and then by the greater id, so that every entry computes the same
 * settings.
 */
export function getTeamSettings(config: FleetConfig, subject: TeamSubject): TeamSettings {
  const { defaults } = config;
  const exceptions = config.exceptions
    .filter(({ selector }) => matches(selector, subject))
    .sort(comparePrecedence);
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

function matches(selector: ExceptionSelector, subject: TeamSubject): boolean {
  // An exception for a group applies to the placement of experts, not to requests.
  if (selector.group !== undefined) {
    return false;
  }
  return selectorFields.every((field) => selector[field] === undefined || selector[field] === subject[field]);
}

function comparePrecedence(left: FleetException, right: FleetException): number {
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

import { TargetKind } from "@clementinemux/common/TargetKind";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { ExceptionSelector } from "@clementinemux/fleet/ExceptionSelector";
import type { Treatment } from "./Treatment";

interface Subject {
  readonly team: string;
  readonly kind: TargetKind;
  /** Model for an engine, service name for a service. */
  readonly model: string;
  readonly region: string;
}

/** Returns the class and deadline of a request. Of several exceptions that match, the last listed wins. */
export function getTreatment(config: FleetConfig, subject: Subject): Treatment {
  const { defaults } = config;
  let requestClass = defaults.teamClass;
  let deadlineMs: number | null = null;
  for (const { selector, override } of config.exceptions) {
    if (matches(selector, subject)) {
      requestClass = override.requestClass ?? requestClass;
      deadlineMs = override.deadlineMs ?? deadlineMs;
    }
  }
  return { requestClass, deadlineMs: deadlineMs ?? defaults.classes[requestClass].deadlineMs };
}

function matches(selector: ExceptionSelector, { team, kind, model, region }: Subject): boolean {
  const isService = kind === TargetKind.Service;
  return (
    selector.group === undefined &&
    (selector.team ?? team) === team &&
    (selector.region ?? region) === region &&
    (selector.model === undefined || (!isService && selector.model === model)) &&
    (selector.service === undefined || (isService && selector.service === model))
  );
}

import * as z from "zod";
import { getFieldUnit } from "./getFieldUnit";

interface IssueDescription {
  readonly path: (string | number)[];
  readonly message: string;
}

/** Describes a schema violation for operators, with the unit of the field and its allowed range. */
export function describeIssue(issue: z.core.$ZodIssue, schema: z.ZodType): readonly IssueDescription[] {
  const path = issue.path.map((part) => (typeof part === "symbol" ? String(part) : part));
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((key) => ({ path: [...path, key], message: "unknown field" }));
  }
  const field = findField(schema, path);
  const range = field === undefined ? "" : describeRange(field);
  const unit = getFieldUnit(String(path.at(-1) ?? ""));
  const suffix = [range, unit === "" ? "" : `unit ${unit}`].filter((part) => part !== "").join(", ");
  return [{ path, message: suffix === "" ? issue.message : `${issue.message} (${suffix})` }];
}

function describeRange(field: z.ZodType): string {
  const inner = unwrap(field);
  if (!(inner instanceof z.ZodNumber)) {
    return "";
  }
  const { minValue, maxValue } = inner;
  const from = minValue === null || minValue <= Number.MIN_SAFE_INTEGER ? "-inf" : String(minValue);
  const to = maxValue === null || maxValue >= Number.MAX_SAFE_INTEGER ? "inf" : String(maxValue);
  return from === "-inf" && to === "inf" ? "" : `allowed ${from} to ${to}`;
}

function findField(schema: z.ZodType, path: readonly (string | number)[]): z.ZodType | undefined {
  let current: z.ZodType | undefined = unwrap(schema);
  for (const part of path) {
    if (current instanceof z.ZodObject) {
      current = (current.shape as Record<string, z.ZodType>)[String(part)];
    } else if (current instanceof z.ZodArray) {
      current = current.element as z.ZodType;
    } else if (current instanceof z.ZodRecord) {
      current = current.valueType as z.ZodType;
    } else {
      return undefined;
    }
    current = current === undefined ? undefined : unwrap(current);
  }
  return current;
}

function unwrap(schema: z.ZodType): z.ZodType {
  if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodNullable) {
    return unwrap(schema.unwrap() as z.ZodType);
  }
  return schema;
}

import type { z } from 'zod';

function readPath(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((node, key) => {
    if (node === null || typeof node !== 'object') return undefined;
    return (node as Record<PropertyKey, unknown>)[key];
  }, value);
}

function describeValue(value: unknown): string {
  return value === undefined ? 'nothing' : JSON.stringify(value);
}

function describeExpected(issue: z.core.$ZodIssue): string {
  if (issue.code === 'invalid_type') return `expected ${issue.expected}`;
  if (issue.code === 'invalid_value') {
    return `expected one of ${issue.values.map((value) => JSON.stringify(value)).join(', ')}`;
  }
  if (issue.code === 'too_small') return `expected at least ${String(issue.minimum)}`;
  if (issue.code === 'too_big') return `expected at most ${String(issue.maximum)}`;
  return issue.message;
}

function describeIssue(issue: z.core.$ZodIssue, input: unknown): string[] {
  const key = issue.path.map(String).join('.');
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((name) => `${[...issue.path.map(String), name].join('.')}: unknown key`);
  }
  const found = describeValue(readPath(input, issue.path));
  return [`${key === '' ? 'document' : key}: ${describeExpected(issue)}, found ${found}`];
}

/**
 * Formats the validation errors of a document, one line each.
 *
 * @param error - error reported by the schema
 * @param input - the document that was validated
 * @returns lines of the form `key: expected X, found Y`
 */
export default function describeIssues(error: z.ZodError, input: unknown): string[] {
  return error.issues.flatMap((issue) => describeIssue(issue, input));
}

import * as z from 'zod';

import Settings from '@guavayard/cli/settings/Settings';

import type SettingRow from './SettingRow';

interface Unwrapped {
  readonly schema: z.core.$ZodType;
  readonly required: string;
}

function unwrap(schema: z.core.$ZodType): Unwrapped {
  if (schema instanceof z.ZodOptional) {
    return { schema: unwrap(schema.def.innerType).schema, required: 'no' };
  }
  if (schema instanceof z.ZodDefault) {
    const fallback = JSON.stringify(schema.def.defaultValue);
    return { schema: unwrap(schema.def.innerType).schema, required: `default \`${fallback}\`` };
  }
  return { schema, required: 'yes' };
}

function describeType(schema: z.core.$ZodType): string {
  if (schema instanceof z.ZodObject) return 'section';
  if (schema instanceof z.ZodArray) return `list of ${describeType(schema.def.element)}`;
  if (schema instanceof z.ZodEnum) return schema.options.map((option) => `\`${option}\``).join(', ');
  return schema instanceof z.ZodType ? schema.def.type : '';
}

function descriptionOf(schema: z.core.$ZodType): string {
  return schema instanceof z.ZodType ? schema.description ?? '' : '';
}

function listKeys(object: z.ZodObject, prefix: string): SettingRow[] {
  return Object.entries(object.shape).flatMap(([name, wrapped]) => {
    const key = `${prefix}${name}`;
    const { schema, required } = unwrap(wrapped);
    const description = descriptionOf(wrapped) || descriptionOf(schema);
    const row = {
      key, type: describeType(schema), required, description,
    };
    return [row, ...(schema instanceof z.ZodObject ? listKeys(schema, `${key}.`) : [])];
  });
}

/**
 * Lists every key of the settings schema.
 *
 * @returns the keys, each section before the keys in it
 */
export default function listSettings(): SettingRow[] {
  return listKeys(Settings, '');
}

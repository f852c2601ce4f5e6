import * as z from 'zod';

const NAME_MAX_LENGTH = 63;

/** Name of a service, data centre, region, route, tenant, VM or target. */
const Name = z.string()
  .max(NAME_MAX_LENGTH)
  .regex(/^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$/, 'expected lower-case letters, digits, ".", "_" and "-"');
type Name = z.infer<typeof Name>;

export default Name;

import * as z from 'zod';

import Name from './Name';

/** Maps a path prefix to a service and, optionally, to the home regions of its requests. */
const Route = z.strictObject({
  pathPrefix: z.string().startsWith('/').max(1024),
  service: Name,
  homeRegions: z.array(Name).min(1).optional(),
});
type Route = z.infer<typeof Route>;

export default Route;

import * as z from 'zod';

import createName from '../utils/createName';

/** Name of a service, data centre or region, which others choose; read as a valid `Name`. */
const ExternalName = z.string().transform(createName);
type ExternalName = z.infer<typeof ExternalName>;

export default ExternalName;

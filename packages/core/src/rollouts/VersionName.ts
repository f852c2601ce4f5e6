import * as z from 'zod';

const MAX_LENGTH = 128;

/** Version of a target, as the target itself tells it. */
const VersionName = z.string().min(1).max(MAX_LENGTH);
type VersionName = z.infer<typeof VersionName>;

export default VersionName;

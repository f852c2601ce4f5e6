import * as z from 'zod';

/**
 * Identity of a control replica: the VM's name and the id written when its data folder was created.
 * A VM that lost its disk returns under a new identity, so a vote lost with the disk cannot be cast
 * twice.
 */
const ReplicaId = z.string().max(128).regex(/^[a-z0-9._-]+#[0-9a-f]+$/, 'expected VM#ID');
type ReplicaId = z.infer<typeof ReplicaId>;

export default ReplicaId;

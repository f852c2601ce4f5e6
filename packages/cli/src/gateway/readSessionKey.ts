import { Ok, type Result } from 'ts-results';

import type GatewaySettings from '../settings/GatewaySettings';
import readSecret from '../settings/readSecret';
import validateSecret from '../settings/validateSecret';

/** Variable that holds the session key if the settings name no file. */
const KEY_VARIABLE = 'GUAVAYARD_SESSION_KEY';
/**
 * Key of a system that has none of its own. It is part of the program, so it keeps apart systems by
 * mistake only, not strangers.
 */
const PUBLIC_KEY = 'guavayard-declared-session';

interface SessionKey {
  readonly key: string;
  /** Whether the key is known to everyone who has the program. */
  readonly isPublic: boolean;
}

/**
 * Reads the key with which the VMs of a system prove that they belong to it.
 *
 * @param settings - settings of the VM, which may name a file
 * @param env - environment variables
 * @returns the key, or an error message
 */
export default async function readSessionKey(
  { vm }: GatewaySettings,
  env: NodeJS.ProcessEnv,
): Promise<Result<SessionKey, string>> {
  const variable = env[KEY_VARIABLE];
  if (vm.keyFile === undefined && variable === undefined) {
    return Ok({ key: PUBLIC_KEY, isPublic: true });
  }
  const key = vm.keyFile === undefined
    ? validateSecret(variable ?? '', KEY_VARIABLE)
    : await readSecret(vm.keyFile, 'vm.keyFile');
  return key.map((value) => ({ key: value, isPublic: false }));
}

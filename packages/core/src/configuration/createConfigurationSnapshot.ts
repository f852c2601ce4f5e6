import Configuration from '../types/Configuration';
import type ConfigurationSnapshot from './ConfigurationSnapshot';

/** @returns a snapshot of version 0, the empty configuration */
export default function createConfigurationSnapshot(): ConfigurationSnapshot {
  return {
    latest: { version: 0, configuration: Configuration.parse({}) },
    idDigests: new Uint8Array(0),
  };
}

// Settings of the command-line tool, given as global flags or SISKINBEAM_ environment variables. Each
// command requires only the settings that it uses.
import { z } from 'zod'
import type { Result } from '@siskinbeam/result-codes/codedError'
import { readSettings, type SettingValues } from '@siskinbeam/settings/readSettings'
import { addressSetting, secretSetting } from '@siskinbeam/settings/settingChecks'

const keySetting = z.string().min(1, 'a base64-encoded Ed25519 key')
const keyListSetting = z.string().transform(text => text.split(',').map(part => part.trim()).filter(part => part !== ''))

/** Definitions of all settings, by name. */
export const settingDefinitions = {
  tableAddress: { flag: 'table-address', description: 'address of the table service', check: addressSetting },
  objectStoreAddress: { flag: 'object-store-address', description: 'address of the object store', check: addressSetting },
  hostListAddress: { flag: 'host-list-address', description: 'address of the host list', check: addressSetting },
  operatorKey: { flag: 'operator-key', description: 'key for calls to entry hosts; prefer its environment variable', check: secretSetting, secret: true },
  trustedKeys: { flag: 'trusted-keys', description: 'comma-separated public keys of authors and approvers, base64', check: keyListSetting },
  signingKey: { flag: 'signing-key', description: 'private key for sign and approve; prefer its environment variable', check: keySetting, secret: true }
}

export type CommandSettings = SettingValues<typeof settingDefinitions>
export type SettingName = keyof CommandSettings

export interface ReadCommandSettingsOptions<Name extends SettingName> {
  required: readonly Name[]
  /** Values of the global flags on the command line, by name of the setting. */
  flags: Partial<Record<SettingName, string>>
  environment: Record<string, string | undefined>
}

/** Reads the settings that a command requires. Fails with SettingMissing or SettingInvalid. */
export function readCommandSettings<Name extends SettingName> ({ required, flags, environment }: ReadCommandSettingsOptions<Name>): Result<Pick<CommandSettings, Name>> {
  const definitions = Object.fromEntries(required.map(name => [name, { ...settingDefinitions[name], required: true }]))
  const flagArguments = required.flatMap(name => flags[name] === undefined ? [] : [`--${settingDefinitions[name].flag}=${flags[name]}`])
  const settings = readSettings({ program: 'siskinbeamctl', description: 'settings', definitions, arguments: flagArguments, environment })
  return settings.ok ? { ok: true, value: settings.value.values as Pick<CommandSettings, Name> } : settings
}

// Runs a stand-in as a process: reads its settings, logs its addresses, and stops on SIGTERM and SIGINT.
import { createLogger } from '@siskinbeam/logging/createLogger'
import { formatCodedError } from '@siskinbeam/result-codes/codedError'
import { readSettings, type SettingDefinitions, type SettingValues } from '@siskinbeam/settings/readSettings'
import { addressSetting, integerSetting } from '@siskinbeam/settings/settingChecks'
import type { RunningStandIn } from './serveWithFaults.js'

const invalidSettingsExitCode = 2

export const commonSettings = {
  address: { flag: 'address', description: 'address of the service', check: addressSetting, default: '127.0.0.1:0' },
  controlAddress: { flag: 'control-address', description: 'address for configuring faults and reading logs', check: addressSetting, default: '127.0.0.1:0' },
  seed: { flag: 'seed', description: 'random seed of the faults that affect a share of requests', check: integerSetting(0, 2_147_483_647), default: '1' }
}

export interface RunStandInOptions<Definitions extends SettingDefinitions> {
  program: string
  description: string
  definitions: Definitions
  serve: (values: SettingValues<Definitions>) => Promise<RunningStandIn>
}

/** Runs a stand-in until the process receives SIGTERM or SIGINT. Exits with 2 if a setting is invalid. */
export async function runStandIn<Definitions extends SettingDefinitions> ({ program, description, definitions, serve }: RunStandInOptions<Definitions>): Promise<void> {
  const logger = createLogger({ component: program })
  const settings = readSettings({ program, description, definitions, arguments: process.argv.slice(2), environment: process.env })
  if (!settings.ok) {
    logger.error('settings invalid', { reason: formatCodedError(settings.error) })
    process.exitCode = invalidSettingsExitCode
    return
  }
  if (settings.value.printRequested) {
    process.stdout.write(settings.value.print() + '\n')
    return
  }
  const running = await serve(settings.value.values)
  process.stdout.write(`ready address=${running.address} control=${running.controlAddress}\n`)
  logger.info('listening', { address: running.address, controlAddress: running.controlAddress })
  const stop = (): void => { running.close().then(() => logger.info('stopped'), error => logger.error('stop failed', { reason: String(error) })) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

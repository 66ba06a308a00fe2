// Starts the three stand-ins of the platform and entry hosts as processes, and runs the binary
// siskinbeamctl against them. Every process is ended by its id.
import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { fileURLToPath } from 'node:url'

const network = '127.201.1'
const binary = fileURLToPath(new URL('../../../bin/siskinbeamctl.js', import.meta.url))
const startMilliseconds = 20_000
const pollTries = 200
const pollMilliseconds = 50

const running = new Set<ChildProcess>()
process.on('exit', () => running.forEach(child => child.kill('SIGKILL')))

export interface CommandRun {
  exitCode: number | null
  output: string
  errors: string
}

/** Runs the command with an environment of its own. */
export async function runSiskinbeamctl (argumentList: string[], environment: Record<string, string>): Promise<CommandRun> {
  const child = spawn(process.execPath, [binary, ...argumentList], { stdio: ['ignore', 'pipe', 'pipe'], env: { PATH: process.env.PATH, ...environment } })
  running.add(child)
  const texts = { output: '', errors: '' }
  child.stdout.on('data', (chunk: Buffer) => { texts.output += chunk.toString() })
  child.stderr.on('data', (chunk: Buffer) => { texts.errors += chunk.toString() })
  const [exitCode] = await once(child, 'close') as [number | null]
  running.delete(child)
  return { exitCode, ...texts }
}

/** Starts a process and gives the values of the line that it prints when it is ready. */
export async function startProcess (script: string, flags: Record<string, string>, environment: Record<string, string> = {}): Promise<Record<string, string>> {
  const argumentList = Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, value])
  const child = spawn(process.execPath, [fileURLToPath(import.meta.resolve(script)), ...argumentList], { stdio: ['ignore', 'pipe', 'ignore'], env: { PATH: process.env.PATH, ...environment } })
  running.add(child)
  child.once('exit', () => running.delete(child))
  return await new Promise((resolve, reject) => {
    const timer = setTimeout(() => reject(new Error(`${script} is not ready`)), startMilliseconds)
    child.once('exit', code => reject(new Error(`${script} exited with ${code}`)))
    child.stdout.on('data', (chunk: Buffer) => {
      const line = /^ready (.*)$/m.exec(chunk.toString())?.[1]
      if (line === undefined) return
      clearTimeout(timer)
      resolve(Object.fromEntries(line.split(' ').map(part => part.split('=', 2) as [string, string])))
    })
  })
}

/** Ends every process that was started here. */
export async function stopProcesses (): Promise<void> {
  const children = [...running]
  const exits = children.map(child => once(child, 'exit'))
  children.forEach(child => child.kill('SIGKILL'))
  await Promise.all(exits)
}

/** Starts the stand-ins. */
export async function startPlatform () {
  const flags = (part: number) => ({ address: `${network}.${part}:0`, 'control-address': `${network}.${part}:0` })
  const [table, objects, hostList] = await Promise.all([
    startProcess('@siskinbeam/stand-in-platform/runTableService', flags(1)),
    startProcess('@siskinbeam/stand-in-platform/runObjectStore', flags(2)),
    startProcess('@siskinbeam/stand-in-platform/runHostList', { ...flags(3), 'lag-milliseconds': '0' })
  ])
  const environment = {
    SISKINBEAM_TABLE_ADDRESS: table.address as string,
    SISKINBEAM_OBJECT_STORE_ADDRESS: objects.address as string,
    SISKINBEAM_HOST_LIST_ADDRESS: hostList.address as string
  }
  return { environment, tableControl: table.control as string, hostListControl: hostList.control as string }
}

/** Starts entry host number 1, 2, ... and gives what it printed. */
export function startEntryHost (number: number, environment: Record<string, string>): Promise<Record<string, string>> {
  return startProcess('@siskinbeam/entry-host/runEntryHost', {
    host: `entry-${number}`, 'data-centre': 'midland-east', 'guest-address': `${network}.${10 + number}:0`, 'peer-address': `${network}.${10 + number}:0`, seed: String(number)
  }, environment)
}

/** Posts JSON to a control address. */
export async function postControl (address: string, path: string, body: unknown): Promise<void> {
  const answer = await fetch(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(body) })
  await answer.text()
  if (!answer.ok) throw new Error(`${address}${path} answered ${answer.status}`)
}

/** Repeats a step until its result is accepted, a bounded number of times; gives the last result. */
export async function repeatUntil<Value> (step: () => Promise<Value>, accepts: (value: Value) => boolean, tries = pollTries): Promise<Value> {
  const value = await step()
  if (accepts(value) || tries === 1) return value
  await new Promise(resolve => setTimeout(resolve, pollMilliseconds))
  return repeatUntil(step, accepts, tries - 1)
}

// Links that can be partitioned: each leads through a proxy process.
import { spawn } from 'node:child_process'
import { connect } from 'node:net'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const program = join(dirname(fileURLToPath(import.meta.url)), 'proxyProcess.mjs')
/** More than the listener of a stopped proxy takes. */
const fillingConnections = 6

export async function startLink (target) {
  const child = spawn(process.execPath, [program, target], { stdio: ['pipe', 'pipe', 'inherit'], env: { PATH: process.env.PATH } })
  const exited = new Promise(resolve => child.once('exit', (code, signal) => {
    if (signal !== 'SIGKILL') process.stderr.write(`proxy ended: ${code} ${signal}\n`)
    resolve()
  }))
  let fillers = []
  process.once('exit', () => child.kill('SIGKILL'))
  const address = await new Promise(resolve => child.stdout.once('data', bytes => resolve(String(bytes).trim())))
  const [host, port] = address.split(':')
  return {
    address,
    cut: () => {
      child.kill('SIGSTOP')
      fillers = Array.from({ length: fillingConnections }, () => connect({ host, port: Number(port) }).on('error', () => {}))
    },
    heal: () => {
      fillers.forEach(filler => filler.destroy())
      fillers = []
      child.kill('SIGCONT')
    },
    close: () => {
      fillers.forEach(filler => filler.destroy())
      child.kill('SIGKILL')
      return exited
    }
  }
}

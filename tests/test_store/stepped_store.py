"""Object store whose calls take effect and are answered step by step."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from damaskpier.store import memory


class Call:
    """Call without an answer, or one whose answer was lost.

    A write whose answer was lost may still take effect.
    """

    def __init__(
        self,
        store: SteppedStore,
        kind: str,
        key: str,
        effect: Callable[[], Any],
    ) -> None:
        self.store = store
        self.kind = kind
        self.key = key
        self.effect = effect
        self.future = asyncio.get_running_loop().create_future()
        self.is_applied = False
        self.result: Any = None

    @property
    def is_write(self) -> bool:
        """Return whether the call changes an object."""
        return self.kind in ('put', 'delete')

    def apply(self) -> None:
        """Let the call take effect, once."""
        if not self.is_applied:
            self.is_applied = True
            self.result = self.effect()


class SteppedStore(memory.MemoryObjectStore):
    """Holds calls until the test answers them.

    The shared list ``network`` has the calls of all clients, so that the
    test can answer them in any order.
    """

    def __init__(self, state: memory.StoreState, network: list[Call]) -> None:
        super().__init__(state)
        self.network = network

    async def get(self, key):
        """Return an object."""
        return await self._call(
            'get', key, lambda: self.state.get(key) or memory.not_found(key)
        )

    async def list(self, prefix, limit=1000):
        """Return objects by prefix."""
        return await self._call(
            'list', prefix, lambda: self.state.list(prefix, limit)
        )

    async def put(self, key, value, if_version):
        """Write an object."""
        return await self._change(
            'put', key, lambda: self.state.put(key, value, if_version)
        )

    async def delete(self, key, if_version):
        """Delete an object."""
        return await self._change(
            'delete', key, lambda: self.state.delete(key, if_version)
        )

    async def _change(self, kind, key, change):
        def effect():
            outcome = change()
            if isinstance(outcome, memory.Conflict):
                return memory.conflict(key, outcome.current)
            return outcome

        return await self._call(kind, key, effect)

    async def _call(self, kind, key, effect):
        if self.is_down:
            return memory.unavailable('the platform is down')
        call = Call(self, kind, key, effect)
        self.network.append(call)
        return await call.future


class Driver:
    """Runs tasks on an event loop of its own and answers their calls."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self.state = memory.StoreState()
        self.network: list[Call] = []
        self.stores: list[SteppedStore] = []

    def make_store(self) -> SteppedStore:
        """Return a new client of the shared state."""
        store = SteppedStore(self.state, self.network)
        self.stores.append(store)
        return store

    def start(self, is_stepped, func, *args) -> asyncio.Task:
        """Start a function of a store.

        :param is_stepped: whether the test answers the calls; otherwise the
            function runs to its end without faults
        """
        if is_stepped:
            return self.spawn(func(self.make_store(), *args))
        return self.run(func(memory.MemoryObjectStore(self.state), *args))

    def spawn(self, coroutine) -> asyncio.Task:
        """Start a task and run it up to its first call."""
        task = self.loop.create_task(coroutine)
        self.settle()
        return task

    def run(self, coroutine) -> asyncio.Task:
        """Run a task to its end; its calls are answered at once."""
        task = self.loop.create_task(coroutine)
        self.loop.run_until_complete(task)
        return task

    def settle(self) -> None:
        """Run all tasks until each waits for a call."""

        async def run_ready_tasks():
            for _ in range(6):
                await asyncio.sleep(0)

        self.loop.run_until_complete(run_ready_tasks())

    def apply(self, index: int) -> None:
        """Let a call take effect without an answer."""
        if self.network:
            self.network[index % len(self.network)].apply()

    def answer(self, index: int) -> None:
        """Let a call take effect and answer it."""
        if not self.network:
            return
        call = self.network.pop(index % len(self.network))
        call.apply()
        if not call.future.done():
            call.future.set_result(call.result)
        self.settle()

    def advance(self, index: int, count: int) -> None:
        """Answer up to a number of calls of one client in a row."""
        if self.network:
            call = self.network[index % len(self.network)]
            self.advance_store(call.store, count)

    def advance_store(self, store: SteppedStore, count: int) -> None:
        """Answer up to a number of calls of a client in a row."""
        for _ in range(count):
            own = [call for call in self.network if call.store is store]
            if not own:
                return
            self.answer(self.network.index(own[-1]))

    def lose(self, index: int) -> None:
        """Lose the answer; a write may still take effect later."""
        if not self.network:
            return
        call = self.network[index % len(self.network)]
        if call.future.done():
            return
        if call.is_write:
            call.future.set_result(memory.unknown('the answer was lost'))
        else:
            self.network.remove(call)
            call.future.set_result(memory.unavailable('no answer'))
        self.settle()

    def set_down(self, is_down: bool) -> None:
        """Start or end an outage, which refuses new calls."""
        for store in self.stores:
            store.is_down = is_down

    def finish(self) -> None:
        """End an outage and answer all calls, in order."""
        self.set_down(False)
        while self.network:
            self.answer(0)

    def close(self) -> None:
        """Cancel the remaining tasks and close the loop."""
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.settle()
        self.loop.close()

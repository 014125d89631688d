"""Environment variables whose names changed when the package was renamed to sandhatch.

The environment is passed in, not read here.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

PREFIX = "SANDHATCH_"
FORMER_PREFIX = "LARKWEIR_"


def renamed_variable(env: Mapping[str, str], name: str, warn: Callable[[str], None]) -> str | None:
    """Returns the value of `SANDHATCH_` + `name`, None if it is not set.

    The former name, `LARKWEIR_` + `name`, is still read if the new one is not set; `warn` is then called with
    one line that names the new variable.
    """
    current = PREFIX + name
    former = FORMER_PREFIX + name
    if current in env or former not in env:
        return env.get(current)
    warn(f"{former} is now called {current}; set that one instead")
    return env[former]
